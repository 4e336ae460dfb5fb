"""The token bucket that limits retries to a share of the served answers."""

from __future__ import annotations

RETRY_BUDGET_CAPACITY = 100.0  # tokens; 10 retries
RETRY_RATIO = 0.1  # retries add at most this share of the served answers


class RetryBudget:
    """A token bucket: a served answer deposits one token, a retry withdraws `1 / RETRY_RATIO`."""

    def __init__(self) -> None:
        self.tokens = RETRY_BUDGET_CAPACITY

    def deposit(self) -> None:
        """Add the token of a served answer."""
        self.tokens = min(RETRY_BUDGET_CAPACITY, self.tokens + 1)

    def withdraw(self) -> bool:
        """Withdraw the tokens of one retry; False, and nothing withdrawn, if there are too few."""
        cost = 1 / RETRY_RATIO
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def refund(self) -> None:
        """Return the tokens of a retry that was never sent."""
        self.tokens = min(RETRY_BUDGET_CAPACITY, self.tokens + 1 / RETRY_RATIO)
