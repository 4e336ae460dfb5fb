"""The restart soak: random restarts of real proxies between scripted clients and servers."""
