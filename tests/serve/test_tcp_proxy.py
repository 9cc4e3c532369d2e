"""The proxy of the tests passes the end of a connection on as it came."""

from __future__ import annotations

import pytest

from tests.cutting import Cut, CuttingServer, End, framed
from tests.serve.tcp_proxy import TcpProxy
from threadramp.wire.response_limits import BoundedConnection, Framing

HEAD_BYTES = len(framed(Framing.CLOSE, b"", {}))
BODY = b"part of a body"


@pytest.mark.parametrize("end", list(End))
def test_end_of_a_connection_is_passed_on_as_it_came(end):
    """A reset became a regular close, so that no test behind the proxy could see the difference."""
    server = CuttingServer(lambda request, framing: framed(framing, BODY, {}))
    server.cut = Cut(Framing.CLOSE, HEAD_BYTES + len(BODY), end)
    proxy = TcpProxy(server.address)
    host, _, port = proxy.address.partition(":")
    connection = BoundedConnection(host, int(port), timeout=5.0)
    connection.request("GET", "/", preload_content=False)
    response = connection.getresponse()
    if end is End.CLOSE:
        assert response.read() == BODY
    else:
        with pytest.raises(Exception, match="reset"):
            response.read()
    connection.close()
    proxy.close()
    server.close()
