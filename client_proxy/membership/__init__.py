"""Gossip between instances: cluster membership, and exchange of observations of servers.

The protocol modules do no I/O and read no clock; the caller passes the time. Only `gossip` and `link` use the
event loop and a socket, and only `keys` and `__main__` read and write key files.
"""
