"""Stand-ins for clients, servers and discovery, and the start of the project's client proxies."""
