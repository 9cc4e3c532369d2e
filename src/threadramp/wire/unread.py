"""An HTTP server that never parses the rest of a body as the next request.

CherryPy discards the unread rest of a body with a Content-Length, but not that of a chunked body. A
handler that responds before it has read a chunked body, such as with a refusal, would leave the
rest on a connection that is kept alive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cherrypy._cpwsgi_server import CPWSGIHTTPRequest, CPWSGIServer

if TYPE_CHECKING:
    from cherrypy._cpserver import Server

MAX_REST_BYTES = 1024 * 1024  # to discard, so that the sender reads the response and not a reset
# The rest may never arrive: the sender may wait for the response before it continues.
REST_S = 0.2


class WholeRequest(CPWSGIHTTPRequest):
    """A request whose body is read to its end before the connection is reused."""

    def send_headers(self) -> None:
        """Discard the rest of a chunked body, then send the response headers."""
        if self.chunked_read and not self._read_rest():
            self.close_connection = True
        super().send_headers()

    def _read_rest(self) -> bool:
        """Read on and return whether the body was read to its end."""
        patience = self.conn.socket.gettimeout()
        try:
            self.conn.socket.settimeout(REST_S)
            self.rfile.read(MAX_REST_BYTES)
        except (OSError, ValueError):  # it ends early, or a chunk is malformed
            return False
        finally:
            self.conn.socket.settimeout(patience)
        return self.rfile.closed


class WholeRequestServer(CPWSGIServer):
    """CherryPy's server for such requests.

    :param adapter: CherryPy's settings of the server
    """

    def __init__(self, adapter: Server) -> None:
        super().__init__(adapter)
        self.ConnectionClass.RequestHandlerClass = WholeRequest


__all__ = ["WholeRequestServer"]
