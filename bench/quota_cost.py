"""
Cost of the quotas: messages, bytes and time per instance.

Run with ``python -m bench.quota_cost``. Encodes, signs, sends and decodes the
real messages of a simulated fleet under load with surges. Bytes include 28 for
the headers of UDP and IP; the core time is that of this machine.
"""

import sys
from collections import Counter
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from statistics import mean
from time import process_time

from bench.quota_errors import Load, make_teams
from bench.quota_fleet import Fleet, Instance
from cuminhatch.codecs.quota_thrift import decode_message, encode_message
from cuminhatch.decisions.quota import Outgoing, QuotaMessage

KEY = b"a key shared by all daemons"
HEADER_BYTES = 28
# Buckets are empty at the start of all instances, so many teams are listed.
START_S = 10.0
DURATION_S = 30.0


class MeasuredFleet(Fleet):
    """Counts what each instance sends and how long it works on it."""

    def __init__(self, *arguments: object) -> None:
        """
        Start as a fleet does.

        :param arguments: those of a fleet.
        """
        self.bytes_sent: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self.longest: Counter[str] = Counter()
        self.work_s: Counter[str] = Counter()
        self._sock = socket(AF_INET, SOCK_DGRAM)
        self._sink = socket(AF_INET, SOCK_DGRAM)
        self._sink.bind(("127.0.0.1", 0))
        super().__init__(*arguments)

    def forget(self) -> None:
        """Forget what was counted so far."""
        for counts in (self.bytes_sent, self.datagrams, self.work_s):
            counts.clear()

    def _tick(self, instance: Instance, generation: int) -> None:
        start_s = process_time()
        super()._tick(instance, generation)
        self.work_s[instance.instance_id] += process_time() - start_s

    def _deliver(self, instance: Instance, message: QuotaMessage) -> None:
        start_s = process_time()
        super()._deliver(instance, decode_message(message, KEY))
        self.work_s[instance.instance_id] += process_time() - start_s

    def _send(self, sender: Instance, outgoing: list[Outgoing]) -> None:
        encoded = []
        for item in outgoing:
            data = encode_message(item.message, KEY)
            kind = type(item.message).__name__
            self.longest[kind] = max(self.longest[kind], len(data))
            count = len(item.instance_ids)
            self.datagrams[sender.instance_id] += count
            self.bytes_sent[sender.instance_id] += count * (len(data) + HEADER_BYTES)
            for _ in item.instance_ids:
                self._sock.sendto(data, self._sink.getsockname())
            encoded.append(item._replace(message=data))
        super()._send(sender, encoded)


def main() -> None:
    """Print the cost by number of instances."""
    for size in [int(text) for text in sys.argv[1:]] or [103, 312]:
        teams, usual = make_teams(size)
        sizes = {name: (size + n) // 3 for n, name in enumerate(("a", "b", "c"))}
        fleet = MeasuredFleet(sizes, teams, 1)
        load = Load(fleet, usual, Random(1))
        end_s = START_S + DURATION_S
        load.add_surges(end_s)
        load.run(end_s, [(START_S, fleet.forget)])
        aggregators = [
            id_ for id_, item in fleet.instances.items() if item.peer.is_aggregator
        ]
        others = [id_ for id_ in fleet.instances if id_ not in aggregators]
        for name, ids in (("aggregators", aggregators), ("others", others)):
            figures = {
                "datagrams/s": mean(fleet.datagrams[id_] for id_ in ids) / DURATION_S,
                "bytes/s": mean(fleet.bytes_sent[id_] for id_ in ids) / DURATION_S,
                "core": mean(fleet.work_s[id_] for id_ in ids) / DURATION_S,
            }
            text = ", ".join(f"{key} {value:.4g}" for key, value in figures.items())
            print(f"{size} instances, {len(ids)} {name}: {text}")
        sent = sum(fleet.bytes_sent.values()) / DURATION_S / size
        work = sum(fleet.work_s.values()) / DURATION_S / size
        print(f"{size} instances, all: bytes/s {sent:.4g}, core {work:.4g}")
        print(f"longest messages in bytes: {dict(fleet.longest)}")


if __name__ == "__main__":
    main()
