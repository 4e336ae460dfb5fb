"""The balancer's interface: events from the client proxy, actions for it, settings, policy hook."""
