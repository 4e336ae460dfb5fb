"""The client proxy: real sockets around the decisions of `cedarcross.balance`."""
