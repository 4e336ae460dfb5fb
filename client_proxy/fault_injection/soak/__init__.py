"""The restart soak: seeded restarts of real proxies between scripted clients and servers, and their rules."""
