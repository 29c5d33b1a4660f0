"""Test that the retries of all instances together stay within the budget."""

import unittest

import immutables

from mustardvale.internal.relay import instance_settings, retry_budgets

SERVICE = 'plain'
WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.05
# Instances, retries in each window and requests per second.
SITES = ((6, 10.0, 7.5), (7, 20.0, 7.5), (30, 60.0, 20.0))


class Instances:
    """Spend the budget of a service at several instances."""

    def __init__(self, count: int, retries_per_window: float) -> None:
        self.limits = instance_settings.Limits(
            retry_ratio=0.1,
            retry_window_seconds=WINDOW_SECONDS,
            retries_per_window=retries_per_window,
        )
        empty = retry_budgets.RetryBucket(0.0, 0.0)
        self.buckets = [immutables.Map({SERVICE: empty})] * count

    def credit(self, number: int, now: float) -> None:
        """Credit one instance for a request."""
        self.buckets[number] = retry_budgets.credit_request(
            self.buckets[number], SERVICE, now, self.limits, len(self.buckets)
        )

    def spend(self, now: float) -> int:
        """Return how many retries all instances may send now; debit them."""
        return sum(
            self.spend_one(number, now) for number in range(len(self.buckets))
        )

    def spend_one(self, number: int, now: float) -> int:
        """Spend all that one instance may send."""
        arguments = (SERVICE, now, self.limits, len(self.buckets))
        count = 0
        while (
            retry_budgets.compute_balance(self.buckets[number], *arguments) >= 1
        ):
            self.buckets[number] = retry_budgets.debit_retry(
                self.buckets[number], *arguments
            )
            count += 1
        return count


class SumOfAllInstances(unittest.TestCase):
    """Instances that have saved up what they may do not exceed the budget."""

    def count_retries(self, instances: Instances, rate: float) -> int:
        """Return the retries in the window after five windows without any."""
        steps = round(WINDOW_SECONDS / STEP_SECONDS)
        requests = 0
        retries = 0
        for step in range(6 * steps):
            now = step * STEP_SECONDS
            while requests < now * rate:
                instances.credit(requests % len(instances.buckets), now)
                requests += 1
            if step >= 5 * steps:
                retries += instances.spend(now)
        return retries

    def test_all_send_in_one_window(self) -> None:
        """Guard against a whole retry more from each instance."""
        for count, retries_per_window, rate in SITES:
            with self.subTest(count=count):
                instances = Instances(count, retries_per_window)
                retries = self.count_retries(instances, rate)
                allowed = 0.1 * rate * WINDOW_SECONDS + retries_per_window
                self.assertLessEqual(retries, allowed)
                self.assertGreater(retries, allowed / 2)
