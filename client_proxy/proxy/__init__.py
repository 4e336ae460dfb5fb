"""The client proxy: sockets and timers around the decisions of `client_proxy.balancer.balancer`."""
