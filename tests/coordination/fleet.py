"""Build small views and tickets for the coordination tests."""

from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.state.view import build_view

SPARE = "backoffice"


def host(name, pool, zone="z", **spec):
    address = f"{name}:80"
    return Record(
        Kind.HOST, name, 2, {"address": address, "pool": pool, "zone": zone, "rack": "r", **spec}
    )


def make_view(services, teams=None, pools=None, hosts=(), assignments=(), revision=1):
    names = {spec["pool"] for spec in services.values()} | set(pools or {})
    return build_view(
        revision,
        [
            *(Record(Kind.POOL, name, 2, (pools or {}).get(name, {})) for name in names),
            *(Record(Kind.SERVICE, name, 2, spec) for name, spec in services.items()),
            *(Record(Kind.TEAM, name, 2, {"share": part}) for name, part in (teams or {}).items()),
            *hosts,
            *(Record(Kind.ASSIGNMENT, name, 2, spec) for name, spec in assignments),
        ],
    )


class FixedCapacity:
    def __init__(self, slots):
        self.slots = slots

    def capacity(self, view, pool):
        return self.slots.get(pool, 0)

    def expected_capacity(self, view, pool):
        return self.slots.get(pool, 0)


class Caller:
    """Offer tickets to an admission queue and record which it grants and refuses."""

    def __init__(self, admission, clock):
        self.admission = admission
        self.clock = clock
        self.granted = []
        self.refused = {}

    def record_outcome(self, ticket, refusal):
        if refusal is None:
            self.granted.append(ticket)
        else:
            self.refused[ticket] = refusal

    def submit(self, service, team="", urgency=3, timeout_s=10.0):
        now = self.clock.monotonic()
        ticket = Ticket(service, team, urgency, now, now + timeout_s, self.record_outcome)
        self.admission.submit(ticket)
        return ticket

    def running(self, service=None, pool=None):
        return [
            ticket
            for ticket in self.granted
            if ticket.state == "granted"
            and service in (None, ticket.service)
            and pool in (None, ticket.pool)
        ]

    def finish(self, *tickets):
        for ticket in tickets or self.running():
            self.admission.release(ticket)
