"""
Stand-in for the platform's object store.

``PUT``, ``GET`` and ``DELETE /objects/{name}``; ``GET /stats`` counts reads
and writes.

Faults besides the common ones: ``slow`` (ms), ``torn`` (the next N gets give
half of the object), ``missing`` (flag; gets find nothing).
"""

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch_standins._answers import (
    WholeRequest,
    bytes_answer,
    json_answer,
    name_in_path,
)
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_count,
    is_flag,
    is_number,
)
from cuminhatch_standins._front import FLOW_IGNORED, LISTENER, FaultsChanged
from cuminhatch_standins._process import run_standin

FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(0, is_number),
    "torn": FaultSpec(0, is_count),
    "missing": FaultSpec(False, is_flag),
}


class ObjectStore(Service):
    """Keeps objects in memory."""

    name = "object_store"

    def __init__(self, kernel: Kernel) -> None:
        """
        Start without objects.

        :param kernel: kernel of the process.
        """
        super().__init__(kernel)
        self._objects: dict[str, bytes] = {}
        self._reads = 0
        self._writes = 0
        self._torn_count = 0
        self._is_missing = False

    def message_handlers(self) -> MessageTable:
        """Return the messages of the front."""
        return {
            WholeRequest: self._on_whole_request,
            FaultsChanged: self._on_faults_changed,
            **FLOW_IGNORED,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._is_missing = message.faults["missing"]
        if "torn" in message.names:
            self._torn_count = message.faults["torn"]

    def _on_whole_request(self, request: WholeRequest) -> None:
        object_name = name_in_path(request, "/objects/")
        if request.path == "/stats":
            stats = {"reads": self._reads, "writes": self._writes}
            self.send(LISTENER, json_answer(request, 200, stats))
        elif object_name is None or request.method not in ("PUT", "GET", "DELETE"):
            self.send(LISTENER, json_answer(request, 404, {}))
        elif request.method == "GET":
            self._get(request, object_name)
        else:
            self._writes += 1
            if request.method == "PUT":
                self._objects[object_name] = request.body
            else:
                self._objects.pop(object_name, None)
            self.send(LISTENER, json_answer(request, 200, {}))

    def _get(self, request: WholeRequest, object_name: str) -> None:
        self._reads += 1
        data = self._objects.get(object_name)
        if data is None or self._is_missing:
            self.send(LISTENER, json_answer(request, 404, {}))
            return
        if self._torn_count:
            self._torn_count -= 1
            data = data[: len(data) // 2]
        self.send(LISTENER, bytes_answer(request, 200, data))


def main() -> None:
    """Run the stand-in."""
    run_standin(ObjectStore, FAULTS, delay_ms=lambda faults: faults["slow"])


if __name__ == "__main__":
    main()
