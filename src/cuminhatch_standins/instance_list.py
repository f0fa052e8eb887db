"""
Stand-in for the platform's list of live and leaving instances.

``GET /instances`` answers as of ``--lag_ms`` ago. ``PUT /instances/{id}``
with ``{"address", "kind", "state"}`` and ``DELETE /instances/{id}`` set the
truth.

Faults besides the common ones: ``stale`` (flag; the answer stays as it is
now).
"""

from collections import deque
from typing import NamedTuple

from absl import flags

from cuminhatch.codecs.platform import (
    PlatformMessageError,
    decode_instance,
    encode_instances,
)
from cuminhatch.decisions.platform import InstanceList, ListedInstance
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch_standins._answers import (
    JSON_TYPE,
    WholeRequest,
    bytes_answer,
    json_answer,
    name_in_path,
)
from cuminhatch_standins._faults import COMMON_FAULTS, FaultSpec, is_flag
from cuminhatch_standins._front import FLOW_IGNORED, LISTENER, FaultsChanged
from cuminhatch_standins._process import run_standin

FAULTS = {
    **COMMON_FAULTS,
    "stale": FaultSpec(False, is_flag),
}

flags.DEFINE_float("lag_ms", 0.0, "How far the list lags behind the truth.")


class _Reading(NamedTuple):
    """The truth from a time on."""

    since_ms: float
    instances: InstanceList


class InstanceListStandin(Service):
    """Keeps a list of instances and answers with an old state of it."""

    name = "instance_list"

    def __init__(self, kernel: Kernel, lag_ms: float) -> None:
        """
        Start with an empty list.

        :param kernel: kernel of the process.
        :param lag_ms: how far the answers lag behind the truth.
        """
        super().__init__(kernel)
        self._lag_ms = lag_ms
        self._instances: dict[str, ListedInstance] = {}
        self._history = deque([_Reading(float("-inf"), InstanceList(()))])
        self._stale: InstanceList | None = None

    def message_handlers(self) -> MessageTable:
        """Return the messages of the front."""
        return {
            WholeRequest: self._on_whole_request,
            FaultsChanged: self._on_faults_changed,
            **FLOW_IGNORED,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        if "stale" in message.names:
            self._stale = self._lagging() if message.faults["stale"] else None

    def _on_whole_request(self, request: WholeRequest) -> None:
        instance_id = name_in_path(request, "/instances/")
        if (request.method, request.path) == ("GET", "/instances"):
            instances = self._lagging() if self._stale is None else self._stale
            body = encode_instances(instances)
            self.send(LISTENER, bytes_answer(request, 200, body, (JSON_TYPE,)))
        elif request.method == "PUT" and instance_id is not None:
            self._put(request, instance_id)
        elif request.method == "DELETE" and instance_id is not None:
            self._instances.pop(instance_id, None)
            self._note_change()
            self.send(LISTENER, json_answer(request, 200, {}))
        else:
            self.send(LISTENER, json_answer(request, 404, {}))

    def _put(self, request: WholeRequest, instance_id: str) -> None:
        try:
            instance = decode_instance(instance_id, request.body)
        except PlatformMessageError as error:
            self.send(LISTENER, json_answer(request, 400, {"error": str(error)}))
            return
        self._instances[instance_id] = instance
        self._note_change()
        self.send(LISTENER, json_answer(request, 200, {}))

    def _note_change(self) -> None:
        instances = InstanceList(tuple(self._instances.values()))
        self._history.append(_Reading(self.kernel.clock.now_ms, instances))

    def _lagging(self) -> InstanceList:
        shown_ms = self.kernel.clock.now_ms - self._lag_ms
        while len(self._history) > 1 and self._history[1].since_ms <= shown_ms:
            self._history.popleft()
        return self._history[0].instances


def main() -> None:
    """Run the stand-in."""
    run_standin(lambda kernel: InstanceListStandin(kernel, flags.FLAGS.lag_ms), FAULTS)


if __name__ == "__main__":
    main()
