"""A box is stopped as planned (SIGTERM) while a client still reads an answer: the box ends as soon
as its HTTP library has taken the answer, and what the client has not received by then is lost."""
import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from deployment import CannotRun, Deployment, GRACE_S, HOST, request  # noqa: E402
from service import content  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SIZE = 900_000
RATE = 180_000        # bytes a second that the client reads: the whole answer in 5 s
MSS = 1460            # segments of an Ethernet link, as loopback has none of its own
WINDOW = 4096         # a small window, as links have them
STOP_AFTER = 0.5      # seconds after the answers have begun
CLIENTS = 5
BUDGET_MS = 20_000
LAST_SIXTH = GRACE_S * 5 / 6
TARGET = "/cufi504/slip.pdf"


def main():
    deployment = Deployment(HERE / "record.txt")
    try:
        return run(deployment)
    except CannotRun as error:
        deployment.log("cannot run: %s" % error)
        return 2
    finally:
        deployment.end(keep_logs="KEEP_LOGS" in os.environ)


def run(d):
    d.start_store()
    zones = ("ebene-a", "ebene-b", "plouis-c")
    for zone in zones:
        d.start_server("i-%s" % zone, "wuno96b", zone, flags=("--bytes", str(SIZE)))
    route = {"name": "r-slips", "host": HOST, "pathPrefix": "/cufi504/", "routeKind": "idempotent",
             "timeoutMs": BUDGET_MS, "targetLatencyMs": 300, "priority": 2, "service": "wuno96b",
             "maxAttempts": 2, "allowAnonymous": False}
    d.put_config([route], [{"name": "wuno96b", "healthPath": "/health", "maxConnections": 110,
                            "protocol": "h1", "tls": False}])
    boxes = [d.start_box(index, zone) for index, zone in enumerate(zones)]
    d.await_ready(boxes)
    time.sleep(5)  # longer than contactMs after the start of the boxes
    box = boxes[0]
    whole = content(SIZE, TARGET)
    answer = request(box.front, "GET", TARGET, "warm-1", BUDGET_MS)
    if answer.body != whole:
        raise CannotRun("answers do not arrive even without trouble")

    begun = threading.Semaphore(0)
    results = {}

    def ask(attempt):
        told = []

        def progress(received):
            if received > 2000 and not told:
                told.append(True)
                begun.release()
        results[attempt] = request(box.front, "GET", TARGET, attempt, BUDGET_MS, rate=RATE, mss=MSS,
                                   rcvbuf=WINDOW, on_progress=progress)
    clients = [threading.Thread(target=ask, args=("slip-%d" % n,)) for n in range(CLIENTS)]
    for client in clients:
        client.start()
    for _ in clients:
        if not begun.acquire(timeout=10):
            raise CannotRun("an answer has not begun")
    time.sleep(STOP_AFTER)
    if TROUBLE:
        box.send_signal(signal.SIGTERM)
        stopped = time.monotonic()
        d.log("SIGTERM to %s, which has %d s; its clients need %.1f s more" % (
            box.name, GRACE_S, SIZE / RATE - STOP_AFTER))
        box.wait(GRACE_S + 1)
        took = time.monotonic() - stopped
        d.log("%s has ended by itself %.2f s after SIGTERM" % (box.name, took))
    for client in clients:
        client.join()
    for line in d.server_records():
        d.log("server: %s" % line)
    lost = 0
    for attempt, answer in sorted(results.items()):
        is_whole = answer.complete and answer.body == whole
        d.log("%s: status %s, %s after %.2f s, %d bytes received of %d; whole: %s" % (
            attempt, answer.status, answer.end, answer.seconds, answer.received, SIZE, is_whole))
        # Not counted: the server broke off (it has recorded `answered` for each), the time budget
        # or the route's timeout was reached, or the last sixth of the grace had begun.
        answered = any(r["attempt"] == attempt and r["what"] == "answered" for r in d.server_records())
        excused = not answered or answer.seconds > BUDGET_MS / 1000
        excused = excused or answer.seconds > STOP_AFTER + LAST_SIXTH
        lost += not is_whole and not excused
    if not TROUBLE and lost:
        raise CannotRun("answers were lost although there was no trouble")
    d.log("LOST %s" % ("is broken: %d of %d answers cut off" % (lost, CLIENTS) if lost else "held"))
    return 1 if lost else 0


sys.exit(main())
