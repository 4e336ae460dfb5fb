"""Stand-ins for clients, hosts and discovery, and the start of client proxies, for review cases 6 to 10."""
