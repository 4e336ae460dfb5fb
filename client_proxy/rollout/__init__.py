"""Staged rollout of a new policy: canary analysis, controller and executor.

During a rollout the canary group of instances uses the new policy and all other instances use the old one.
If the canary group fails more requests in a stage, the rollout is rolled back. Only `rollout_executor` has a
timer; the other modules do no I/O and get the current time from their caller.
"""
