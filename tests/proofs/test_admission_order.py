"""
Proof: admission never prefers a less urgent request to a more urgent one.

The oracle is rule 9 for one instance: at a moment at which a request is
admitted, no more urgent one of the same service would be refused.
"""

from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from cuminhatch.decisions.service_admission import AdmissionTicket, ServiceAdmission
from cuminhatch.decisions.urgency import Urgency

PROOF = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
URGENCY = st.builds(Urgency, st.integers(0, 3), st.booleans())
TEAM = st.sampled_from([None, "large", "small"])
# The last draw in the order of admission.
LAST_DRAW = 1.0 - 2.0**-53


class AdmissionMachine(RuleBasedStateMachine):
    """Load reports, refusals and requests of a service at one instance."""

    @initialize(urgencies=st.sets(URGENCY, min_size=1, max_size=4))
    def start(self, urgencies):
        self.admission = ServiceAdmission(tuple(sorted(urgencies)), Random(1))
        self.now_ms = 1_000.0
        self.tickets = []

    @rule(ms=st.integers(1, 2_000))
    def wait(self, ms):
        self.now_ms += ms

    @rule(waiting=st.integers(0, 4), reports=st.integers(1, 14))
    def report(self, waiting, reports):
        for n in range(reports):
            self.admission.record_load(3 + n % 2, waiting, 4, self.now_ms)

    @rule(refusals=st.integers(1, 3))
    def refuse(self, refusals):
        for _ in range(refusals):
            self.admission.record_refusal(self.now_ms)

    @rule(
        urgency=URGENCY,
        team=TEAM,
        requests=st.integers(1, 8),
        after=st.integers(0, 196),
    )
    def request(self, urgency, team, requests, after):
        for n in range(requests):
            deadline_ms = self.now_ms + after + 37.0 * n
            ticket = self.admission.count_request(
                urgency, team, deadline_ms, self.now_ms
            )
            self.tickets.append(ticket)
            self.check(ticket, False)

    @rule(index=st.integers(0, 100), is_late=st.booleans())
    def place_again(self, index, is_late):
        """A request that waits for a server is checked again."""
        if self.tickets:
            self.check(self.tickets[index % len(self.tickets)], is_late)

    def check(self, ticket, is_late):
        admission = self.admission
        if not admission.is_admitted(ticket, is_late, self.now_ms):
            assert (
                admission.find_rank(ticket.urgency) > 0 or is_late or ticket.is_excess
            )
            return
        for urgency in admission.urgencies[: admission.find_rank(ticket.urgency)]:
            worst = AdmissionTicket(urgency, True, LAST_DRAW)
            assert admission.is_admitted(worst, True, self.now_ms)
        admission.count_admitted(ticket, self.now_ms)


def test_no_less_urgent_request_is_admitted_while_a_more_urgent_one_is_refused():
    """
    Guards against rule 9 broken by noise, team shares or late requests.

    Load: any order of load reports, refusals and requests of four ranks.
    """
    run_state_machine_as_test(AdmissionMachine, settings=PROOF)
