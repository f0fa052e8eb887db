"""What runs a stand-in program: flags, kernel, listener."""

from collections.abc import Callable, Mapping

from absl import app, flags

from cuminhatch.arguments import refuse_arguments
from cuminhatch.errors import CuminhatchError
from cuminhatch.kernel import Kernel, Service
from cuminhatch.messages import Address
from cuminhatch_standins._faults import Faults, FaultSpec
from cuminhatch_standins._front import Front
from cuminhatch_standins._listener import StandinListener

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
flags.DEFINE_integer("port", 0, "TCP port to listen on.")


def run_standin(
    make_service: Callable[[Kernel], Service],
    specs: Mapping[str, FaultSpec],
    is_body_kept: Callable[[str], bool] = lambda path: True,
    delay_ms: Callable[[Faults], float] = lambda faults: 0.0,
) -> None:
    """
    Run a stand-in program until it is stopped.

    :param make_service: builds the service that answers requests.
    :param specs: faults of the stand-in.
    :param is_body_kept: tells for a path whether its body is needed.
    :param delay_ms: tells how long requests are held back.
    """

    def main(arguments: list[str]) -> None:
        refuse_arguments(arguments[0], arguments)
        kernel = Kernel()
        service = kernel.register(make_service(kernel))
        front = Front(kernel, service.name, specs, is_body_kept, delay_ms)
        kernel.register(front)
        address = Address(flags.FLAGS.host, flags.FLAGS.port)
        kernel.register(StandinListener(kernel, address, front.name))
        try:
            kernel.open()
            kernel.run()
        except CuminhatchError as error:
            raise SystemExit(f"{service.name}: {error}") from error

    app.run(main)
