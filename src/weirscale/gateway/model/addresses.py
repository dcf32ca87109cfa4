"""Reads and writes addresses of back ends, each of which has only one form."""

from ipaddress import IPv4Address, IPv6Address

from weirscale.gateway.model.identifiers import Address

MAX_PORT = 65_535

MAX_QUOTED_CHARS = 40
"""Maximum number of characters of an unreadable address that the error message quotes."""


def read_address(text: str) -> Address:
    """Return the address that a text states as IP:PORT, with an IPv6 address in brackets.

    All ways to write an address give the same result, because back ends, paths and claims are
    looked up by it.

    Raises:
        ValueError: The text states no address that a connection can be opened to.
    """
    host, _, port = text.rpartition(":")
    try:
        return Address(f"{_read_host(host)}:{_read_port(port)}")
    except ValueError as error:
        quoted = repr(text[:MAX_QUOTED_CHARS])
        raise ValueError(f"the address is not IP:PORT of one host: {quoted}") from error


def read_ipv4_host(text: str) -> IPv4Address:
    """Return the host that a text states.

    Raises:
        ValueError: The text is not the IPv4 address of one host.
    """
    host = IPv4Address(text)
    _check_one_host(host)
    return host


def host_of(address: Address) -> str:
    """Return the host of an address, without brackets."""
    host, _, _ = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]")


def port_of(address: Address) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])


def _read_port(text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise ValueError("the port is not a number")
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError("there is no such port")
    return port


def _read_host(text: str) -> str:
    """Return a host as it is written in an address; only IPv6 addresses are in brackets."""
    if text.startswith("["):
        if not text.endswith("]"):
            raise ValueError("the closing bracket is missing")
        return _in_brackets(IPv6Address(text[1:-1]))
    return str(read_ipv4_host(text))


def _in_brackets(host: IPv6Address) -> str:
    if host.scope_id is not None:
        raise ValueError("a scope has a meaning on one machine only")
    if host.ipv4_mapped is not None:
        _check_one_host(host.ipv4_mapped)
        return str(host.ipv4_mapped)
    _check_one_host(host)
    return f"[{host}]"


def _check_one_host(host: IPv4Address | IPv6Address) -> None:
    if host.is_unspecified or host.is_multicast:
        raise ValueError("the address is not one of a single host")
