"""Test the orders to engine stand-ins and the leases of the weight store."""

import unittest

from mustardvale.internal import calls, events
from standins import engine_orders, weight_store
from tests import engine_cases, reducer_driver


def build_order(token: int, **fields) -> engine_orders.Order:
    """Return an order to hold the next version of the model."""
    request = {
        'model': 'affinage',
        'version': '4',
        'layers': 4,
        'first_layer': 0,
        'end_layer': 4,
    }
    return engine_orders.Order(token, **(request | fields))


class Orders(unittest.TestCase):
    """An order replaces what an engine holds, unless its token is outdated."""

    def test_fencing(self) -> None:
        """Guard against an outdated order that overrides a newer one."""
        for fenced, version in ((True, '5'), (False, '4')):
            driver = engine_cases.build_driver(fenced=fenced)
            driver.ask('new', build_order(7, version='5'))
            driver.ask('old', build_order(6))
            driver.pass_time(2)
            refused = driver.replies['old'] == engine_orders.STALE_TOKEN
            self.assertEqual(refused, fenced)
            self.assertEqual(driver.state.config.version, version)

    def test_loading_time(self) -> None:
        """Guard against steps that run on weights that are still loading."""
        driver = engine_cases.build_driver(layer_load_seconds=0.5)
        engine_cases.run_steps(driver, 'r0', engine_cases.build_step('s'))
        self.assertEqual(driver.ask('order', build_order(1)).units, 4)
        (got,) = engine_cases.run_steps(
            driver, 'r1', engine_cases.build_step('s', 1), seconds=0.1
        )
        self.assertEqual(got.error, 'loading')
        report = driver.ask('load-0', calls.ReadLoad())
        self.assertEqual((report.end_layer, report.loading), (0, True))
        driver.pass_time(2)
        report = driver.ask('load-1', calls.ReadLoad())
        self.assertEqual((report.version, report.plan_offset), ('4', 1))
        self.assertFalse(driver.state.sessions)

    def test_adapter_keeps_sessions(self) -> None:
        """Guard against closing sessions to load an adapter."""
        driver = engine_cases.build_driver()
        engine_cases.run_steps(driver, 'r0', engine_cases.build_step('s'))
        order = build_order(1, version='3', adapters=('rind', 'brine'))
        self.assertEqual(driver.ask('order', order).units, 1)
        (got,) = engine_cases.run_steps(
            driver, 'r1', engine_cases.build_step('s', 1)
        )
        self.assertFalse(got.error)
        self.assertEqual(driver.state.config.adapters, ('rind', 'brine'))

    def test_layer_range_and_role(self) -> None:
        """Guard against loading layers that the engine already holds."""
        driver = engine_cases.build_driver(end_layer=2)
        order = build_order(
            1, version='3', adapters=('rind',), first_layer=1, role='decode'
        )
        self.assertEqual(driver.ask('order', order).units, 2)
        driver.pass_time(1)
        config = driver.state.config
        self.assertEqual(
            (config.first_layer, config.end_layer, config.role),
            (1, 4, 'decode'),
        )

    def test_repeated_order(self) -> None:
        """Guard against a repeated order that restarts the load."""
        driver = engine_cases.build_driver(layer_load_seconds=1)
        driver.ask('first', build_order(1))
        driver.pass_time(3)
        driver.ask('again', build_order(1))
        driver.pass_time(1.5)
        self.assertEqual(driver.state.config.version, '4')

    def test_replaced_order(self) -> None:
        """Guard against the timer of a replaced load that ends the new one."""
        driver = engine_cases.build_driver(layer_load_seconds=1)
        driver.ask('first', build_order(1))
        driver.pass_time(2)
        driver.ask('second', build_order(2, version='5'))
        driver.pass_time(3)
        self.assertEqual(driver.state.config.version, '3')
        driver.pass_time(2)
        self.assertEqual(driver.state.config.version, '5')


class EngineLeases(unittest.TestCase):
    """An engine with a weight store loads only with a lease."""

    def test_refused_then_granted(self) -> None:
        """Guard against a load without a lease."""
        driver = engine_cases.build_driver(weight_store='w:1')
        driver.ask('order', build_order(1))
        self.answer(driver, weight_store.LeaseRefused(2))
        driver.pass_time(1)
        self.assertEqual(len(driver.calls), 1)
        driver.pass_time(1)
        self.answer(driver, weight_store.LeaseGranted('lease-0', 3))
        driver.pass_time(2.9)
        self.assertEqual(driver.state.config.version, '3')
        driver.pass_time(0.2)
        self.assertEqual(driver.state.config.version, '4')

    def test_late_lease_of_a_replaced_load(self) -> None:
        """Guard against the lease of a replaced load that ends the new one."""
        driver = engine_cases.build_driver(weight_store='w:1')
        driver.ask('first', build_order(1))
        driver.ask('second', build_order(2, version='5'))
        self.answer(driver, weight_store.LeaseGranted('lease-0', 1), 0)
        driver.pass_time(5)
        self.assertEqual(driver.state.config.version, '3')

    def answer(self, driver, reply, number: int = -1) -> None:
        """Answer a call to the weight store."""
        call = driver.calls[number]
        driver.emit_event(
            events.CallAnswered,
            call=call.call,
            address=call.address,
            answer=reply,
        )


class WeightStore(unittest.TestCase):
    """The store grants no more leases than its rate allows."""

    def build(self) -> reducer_driver.Driver:
        """Return a store with two slots that loads four units a second."""
        state = weight_store.State(units_per_second=4, slots=2)
        return reducer_driver.Driver(weight_store.reduce, state)

    def test_rate(self) -> None:
        """Guard against loads that exceed the rate of the store."""
        driver = self.build()
        granted = 0
        start_time = driver.now
        for number in range(200):
            reply = driver.ask(
                f'r{number}', weight_store.AcquireLease('runner', 2)
            )
            granted += isinstance(reply, weight_store.LeaseGranted)
            driver.pass_time(0.25)
        units = 2 * granted
        self.assertLessEqual(units, 4 * (driver.now - start_time) + 4)
        self.assertGreater(units, 3 * (driver.now - start_time))
        page = driver.ask('page', weight_store.ReadLeases())
        self.assertEqual(page.most_at_once, 2)

    def test_retry_after(self) -> None:
        """Guard against a retry time before a slot is free."""
        driver = self.build()
        for number in range(2):
            driver.ask(f'r{number}', weight_store.AcquireLease('runner', 4))
        driver.pass_time(0.5)
        refused = driver.ask('late', weight_store.AcquireLease('runner', 4))
        self.assertAlmostEqual(refused.retry_after_seconds, 1.5)
        driver.pass_time(refused.retry_after_seconds)
        granted = driver.ask('again', weight_store.AcquireLease('runner', 4))
        self.assertIsInstance(granted, weight_store.LeaseGranted)

    def test_release(self) -> None:
        """Guard against a released lease that keeps its slot."""
        driver = self.build()
        for number in range(2):
            granted = driver.ask(
                f'r{number}', weight_store.AcquireLease('runner', 4)
            )
        driver.ask('end', weight_store.ReleaseLease(granted.lease))
        again = driver.ask('again', weight_store.AcquireLease('runner', 4))
        self.assertIsInstance(again, weight_store.LeaseGranted)
