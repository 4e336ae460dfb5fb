"""The load balancer's decisions, without I/O or a clock: each call takes events and returns actions.

`balancer.Balancer` dispatches events to the other modules. These are, from the lowest layer up:

- `endpoint`, `pool`, `endpoint_set`, `latency`, `class_demand`: statistics of endpoints and request classes;
- `retry_budget`, `attempt_limit`, `backoff`, `key_order`, `idle_connections`: limits and timing of attempts;
- `request`, `timers`, `state`: unfinished requests, and the state that all modules share;
- `slow_start`, `send_guard`, `picker`, `endpoint_selection`, `sender`: selecting an endpoint and sending;
- `completion`, `pending_queue`, `load_probe`, `probing`, `retrying`, `learning`: steps around a send.

Times are milliseconds on the caller's clock; names of points in time and of durations end in ``_ms``.
"""
