"""Some engines fail part of their requests and fall silent in the middle of the answer: the box
waits for the rest of it past the route's timeout, and past the client's time budget."""
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from deployment import CannotRun, Deployment, HOST, request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("ebene-a", "ebene-b", "plouis-c")
ENGINES = 22
GREY = 3              # a share of 0.136; each fails 0.4 of its requests
GREY_S = 6.5          # seconds for which they do, and for which they are silent
SENDING_S = 3.0       # seconds in which all requests are sent
CLIENTS = 400
TIMEOUT_MS = 2500     # of the route
AIM_MS = 1000         # clients wait for four times this between events
BUDGET_MS = 20_000
PATH = "/lohu930/2f"


def main():
    deployment = Deployment(HERE / "record.txt")
    try:
        return run(deployment)
    except Exception as error:  # whatever it is, it shows no fault of the boxes
        deployment.log("cannot run: %r" % error)
        return 2
    finally:
        deployment.end(keep_logs="KEEP_LOGS" in os.environ)


def config():
    route = {"name": "r-notes", "host": HOST, "pathPrefix": "/lohu930/", "routeKind": "streaming",
             "timeoutMs": TIMEOUT_MS, "targetLatencyMs": AIM_MS, "priority": 1, "service": "huvo11a",
             "maxAttempts": 2, "allowAnonymous": False, "sessionAffinity": True,
             "streamResume": True, "gap_aim_ms": 200}
    engine = {"slots": 192, "kvCapacityTokens": 100000, "kvTokenBytes": 590000,
              "linkMbps": 480000.0, "stride": 2,
              "models": [{"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warmS": 1.0}],
              "step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512,
              "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0,
              "loads_per_s": 0.0, "loads_at_once": 16, "delays": [],
              "usual": {"prompt": 772, "answer": 172}, "layers": 80, "layer_mb": 1750.0,
              "act_bytes": 29500, "pipe_mbps": 9000.0,
              "kinds": [{"name": "h100", "mb": 288000.0, "pace": 1.4, "read_x": 1.0}]}
    service = {"name": "huvo11a", "healthPath": "/health", "maxConnections": 1138, "protocol": "h1",
               "tls": False, "engine": engine}
    return [route], [service]


def run(d):
    d.start_store()
    fails = d.path / "engines-fail"
    for number in range(ENGINES):
        flags = ["--read-ms", "200"]
        if number < GREY:
            flags += ["--fail-file", fails]
        d.start_server("i-%02d" % number, "huvo11a", "ebene-a", program="engine.py", flags=flags)
    d.put_config(*config())
    boxes = [d.start_box(index, zone) for index, zone in enumerate(ZONES)]
    d.await_ready(boxes)
    time.sleep(15)  # until the engines hold their layers
    results = {}
    lock = threading.Lock()

    def ask(number):
        attempt = "note-%d" % number
        answer = request(boxes[number % len(boxes)].front, "POST", PATH, attempt, BUDGET_MS,
                         patience=4 * AIM_MS / 1000, body=b"note %d" % number,
                         headers=("X-Model: daka510000", "X-Token-Usage: 800,40",
                                  "X-Prompt-Prefix: 1a:40,%x:760" % (0xa000 + number)))
        with lock:
            results[attempt] = answer
    ask(0)
    if not results["note-0"].complete:
        raise CannotRun("no stream without trouble: %s" % results["note-0"].end)
    if TROUBLE:
        fails.write_text("")
        d.log("from now on i-00 to i-%02d fail 0.4 of their requests, and fall silent" % (GREY - 1))
    began = time.monotonic()
    threads = [threading.Thread(target=ask, args=(n,)) for n in range(1, CLIENTS + 1)]
    for number, thread in enumerate(threads):
        time.sleep(max(0, began + SENDING_S * number / CLIENTS - time.monotonic()))
        thread.start()
    if TROUBLE:
        time.sleep(max(0, began + GREY_S - time.monotonic()))
        fails.unlink()
        d.log("the engines are sound again, and break off what they were silent on")
    for thread in threads:
        thread.join()
    return judge(d, results)


def judge(d, results):
    records = d.server_records()
    for name in ("i-%02d" % n for n in range(GREY)):
        what = [r["what"] for r in records if r["server"] == name and r["attempt"] != "note-0"]
        d.log("%s took %d requests and failed %d" % (
            name, what.count("taken"), what.count("failed, silent")))
    past, unanswered = [], []
    for attempt, answer in sorted(results.items()):
        taken = [r["server"] for r in records if r["attempt"] == attempt and r["what"] == "taken"]
        d.log("%s: taken by %s; status %s, %s after %.2f s" % (
            attempt, ", ".join(taken) or "none", answer.status, answer.end, answer.seconds))
        if answer.seconds > TIMEOUT_MS / 1000:
            past.append(attempt)
            if answer.seconds > TIMEOUT_MS / 1000 + 0.5:
                unanswered.append(attempt)
    d.log("%d requests had no final answer at the route's timeoutMs, %d of them none 0.5 s later" % (
        len(past), len(unanswered)))
    if not TROUBLE and past:
        raise CannotRun("requests were not answered although there was no trouble")
    broken = len(unanswered) >= 8 and len(unanswered) * 2 > len(past)
    d.log("CONFIG (timeoutMs) %s" % ("is broken" if broken else "held"))
    return 1 if broken else 0


sys.exit(main())
