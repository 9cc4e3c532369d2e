"""The server of the own interface: a request waits for its body without a thread."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cherrypy._cpwsgi_server import CPWSGIHTTPRequest, CPWSGIServer

from threadramp.wire.receiving import ReceivingConnection, ReceivingRequest, ReceivingServer

if TYPE_CHECKING:
    from cherrypy._cpserver import Server


class WholeRequest(ReceivingRequest, CPWSGIHTTPRequest):
    """A request whose body the application receives as a whole."""


class WholeRequestConnection(ReceivingConnection):
    """A connection for such requests."""

    request_class = WholeRequest


class WholeRequestServer(ReceivingServer, CPWSGIServer):
    """CherryPy's server for such requests.

    :param adapter: CherryPy's settings of the server
    """

    ConnectionClass = WholeRequestConnection

    def __init__(self, adapter: Server) -> None:
        super().__init__(adapter)


__all__ = ["WholeRequestServer"]
