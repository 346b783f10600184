"""Network addresses of processes and datagrams between them."""

from jacinthcart.network._datagrams import (
    MAX_DATAGRAM_BYTES,
    BaseDatagrams,
    DatagramEndpoint,
    DatagramListener,
    decode_datagram,
)
from jacinthcart.network._models import (
    Endpoint,
    IpAddress,
    Port,
    SettingsModel,
    parse_endpoint,
)

__all__ = [
    'MAX_DATAGRAM_BYTES',
    'BaseDatagrams',
    'DatagramEndpoint',
    'DatagramListener',
    'Endpoint',
    'IpAddress',
    'Port',
    'SettingsModel',
    'decode_datagram',
    'parse_endpoint',
]
