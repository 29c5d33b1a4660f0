"""Test the status of peers as shown to operators."""

import unittest

from mustardvale.internal import caller_messages, calls, events
from tests import configuration_site

NAMES = ('entry-a', 'entry-b')


class Peers(unittest.TestCase):
    """Every listed instance is shown with its state."""

    def setUp(self) -> None:
        """Start two instances that exchange heartbeats."""
        self.site = configuration_site.Site(NAMES)
        self.site.advance(0)

    def list_states(self) -> list[str]:
        """Return the states that the first instance shows."""
        instance = self.site.instances[NAMES[0]]
        event = events.CallerRequested(
            at=self.site.at,
            request_id='r',
            request=caller_messages.StatusRequest(),
        )
        reply = configuration_site.handlers.reduce(
            event, instance.state
        ).effects[0]
        return [row.state for row in reply.reply.instances]  # type: ignore[attr-defined]

    def test_listed_peer_that_was_never_heard(self) -> None:
        """Guard against an instance that is missing from the status."""
        self.assertEqual(self.list_states(), ['live', 'unheard'])

    def test_peer_that_fell_silent(self) -> None:
        """Guard against a dead instance shown as live."""
        self.site.advance(1)
        self.site.deliver(self.site.instances[NAMES[0]])
        self.assertEqual(self.list_states(), ['live', 'live'])
        self.site.at += 4
        self.assertEqual(self.list_states(), ['live', 'suspect'])

    def test_peer_that_the_list_shows_as_leaving(self) -> None:
        """Guard against a leaving instance shown as live."""
        instance = self.site.instances[NAMES[0]]
        self.site.advance(1)
        self.site.deliver(instance)
        row = self.site.instances[NAMES[1]].build_row()
        leaving = configuration_site.dataclasses.replace(
            row,
            state=calls.ListedState.LEAVING,
        )
        fields = {
            'call': calls.ListInstances(),
            'address': 'list',
            'answer': calls.InstancesListed((leaving,)),
        }
        self.site.reduce_event(instance, events.CallAnswered, fields)
        self.assertEqual(self.list_states(), ['live', 'leaving'])
