import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The state service of the protocol page, with its limits. One front per controller, so that each can be refused alone. */
final class StateService {
  record Entry(Object value, long stamp, long hold) {}

  record Change(long rev, String key, Object value, boolean put) {}

  /** How one controller is served. */
  enum Mode { SERVE, REFUSE, SILENT }

  static final class Front {
    final String name;
    volatile Mode mode = Mode.SERVE;
    volatile long delayMs;
    final AtomicInteger requests = new AtomicInteger();
    final AtomicInteger limited = new AtomicInteger();

    Front(String name) {
      this.name = name;
    }
  }

  final TreeMap<String, Entry> entries = new TreeMap<>();
  final Deque<Change> changes = new ArrayDeque<>();
  final Map<Long, long[]> holds = new HashMap<>();
  long ledger;
  long nextHold = 1;
  long firstKept = 0;
  final double rps;
  final double writeRps;
  final int valueBytes;
  final int txnOps;
  double requestTokens;
  double changeTokens;
  long lastRefill = System.nanoTime();
  volatile boolean outage;

  StateService(double rps, double writeRps, int valueBytes, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
    requestTokens = rps;
    changeTokens = writeRps;
    Thread expiry =
        new Thread(
            () -> {
              while (true) {
                try {
                  Thread.sleep(20);
                } catch (InterruptedException e) {
                  return;
                }
                expire();
              }
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  Front open(String name, int port) throws Exception {
    Front front = new Front(name);
    Http.serve(port, (method, path, query, body) -> handle(front, method, path, query, body));
    return front;
  }

  private Http.Response handle(Front front, String method, String path, String query, byte[] body)
      throws Exception {
    front.requests.incrementAndGet();
    if (front.mode == Mode.SILENT) {
      while (front.mode == Mode.SILENT) {
        Thread.sleep(50);
      }
      return null;
    }
    Thread.sleep(3 + front.delayMs);
    if (outage || front.mode == Mode.REFUSE) {
      return Http.answer(503, Cb.map("error", "trouble"));
    }
    synchronized (this) {
      Http.Response r = execute(method, path, query, body);
      if (r.status() == 429) {
        front.limited.incrementAndGet();
      }
      return r;
    }
  }

  private synchronized void expire() {
    if (outage) {
      long now = System.nanoTime();
      holds.values().forEach(h -> h[1] = now + h[0] * 1_000_000L);
      return;
    }
    long now = System.nanoTime();
    for (Long id : new ArrayList<>(holds.keySet())) {
      if (now > holds.get(id)[1] + 20_000_000L) {
        end(id);
      }
    }
  }

  private void end(long id) {
    holds.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (k, e) -> {
          if (e.hold == id) {
            keys.add(k);
          }
        });
    for (String k : keys) {
      ledger++;
      entries.remove(k);
      log(new Change(ledger, k, null, false));
    }
  }

  private void log(Change c) {
    changes.addLast(c);
    while (changes.size() > 10_000) {
      firstKept = changes.removeFirst().rev;
    }
  }

  private boolean take(double n) {
    long now = System.nanoTime();
    double s = (now - lastRefill) / 1e9;
    lastRefill = now;
    requestTokens = Math.min(rps, requestTokens + s * rps);
    changeTokens = Math.min(writeRps, changeTokens + s * writeRps);
    if (requestTokens < 1 || changeTokens < n) {
      return false;
    }
    requestTokens -= 1;
    changeTokens -= n;
    return true;
  }

  private static Map<String, String> params(String query) {
    Map<String, String> params = new HashMap<>();
    if (query != null) {
      for (String pair : query.split("&")) {
        int eq = pair.indexOf('=');
        params.put(
            pair.substring(0, eq),
            URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    return params;
  }

  private Http.Response execute(String method, String path, String query, byte[] body) {
    Map<String, String> q = params(query);
    if (path.equals("/txn")) {
      return txn(Cb.readMap(body));
    }
    if (!take(0)) {
      return Http.answer(429, Cb.map("error", "too many requests"));
    }
    if (path.equals("/kv")) {
      return list(q);
    }
    if (path.startsWith("/kv/")) {
      Entry e = entries.get(path.substring(4));
      return e == null
          ? Http.answer(404, Cb.map("ledger", ledger))
          : Http.answer(200, Cb.map("path", path.substring(4), "v", e.value, "stamp", e.stamp));
    }
    if (path.equals("/follow")) {
      return follow(q);
    }
    if (path.equals("/holds")) {
      long ttl = Cb.num(Cb.readMap(body), "ttl_ms");
      long id = nextHold++;
      holds.put(id, new long[] {ttl, System.nanoTime() + ttl * 1_000_000L});
      return Http.answer(200, Cb.map("hold", id));
    }
    if (path.startsWith("/holds/")) {
      String[] parts = path.split("/");
      long id = Long.parseLong(parts[2]);
      long[] hold = holds.get(id);
      if (method.equals("DELETE")) {
        end(id);
        return Http.answer(200, Cb.map());
      }
      if (hold == null) {
        return Http.answer(404, Cb.map("error", "no such lease"));
      }
      hold[1] = System.nanoTime() + hold[0] * 1_000_000L;
      return Http.answer(200, Cb.map("hold", id));
    }
    return Http.answer(400, Cb.map("error", "bad request"));
  }

  private Http.Response list(Map<String, String> q) {
    String prefix = q.getOrDefault("starts", "");
    String after = q.getOrDefault("after", "");
    int page = Math.min(1000, Integer.parseInt(q.getOrDefault("page", "1000")));
    List<Object> out = new ArrayList<>();
    int size = 0;
    boolean more = false;
    String from = after.isEmpty() ? prefix : after;
    for (Map.Entry<String, Entry> e : entries.tailMap(from, after.isEmpty()).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      int s = Cb.jsonSize(e.getValue().value) + e.getKey().length() + 30;
      if (out.size() >= page || size + s > 512 * 1024 && !out.isEmpty()) {
        more = true;
        break;
      }
      size += s;
      out.add(Cb.map("path", e.getKey(), "v", e.getValue().value, "stamp", e.getValue().stamp));
    }
    return Http.answer(200, Cb.map("entries", out, "has_next", more, "ledger", ledger));
  }

  private Http.Response follow(Map<String, String> q) {
    String prefix = q.getOrDefault("starts", "");
    long after = Long.parseLong(q.getOrDefault("after", "0"));
    if (after < firstKept) {
      return Http.answer(410, Cb.map("error", "too old"));
    }
    List<Object> out = new ArrayList<>();
    for (Change c : changes) {
      if (c.rev > after && c.key.startsWith(prefix)) {
        out.add(
            c.put
                ? Cb.map("put", c.key, "v", c.value, "stamp", c.rev)
                : Cb.map("remove", c.key, "stamp", c.rev));
      }
    }
    return Http.answer(200, Cb.map("ledger", ledger, "news", out));
  }

  @SuppressWarnings("unchecked")
  private Http.Response txn(Map<String, Object> body) {
    List<Object> conditions = Cb.list(body, "if");
    List<Object> apply = Cb.list(body, "apply");
    if (apply.size() > txnOps || conditions.size() > 4 * txnOps || Cb.jsonSize(body) > 64 * 1024) {
      return Http.answer(400, Cb.map("error", "too large"));
    }
    for (Object o : apply) {
      Map<String, Object> change = (Map<String, Object>) o;
      if (change.containsKey("put") && Cb.jsonSize(change.get("v")) > valueBytes) {
        return Http.answer(400, Cb.map("error", "value too large"));
      }
    }
    if (!take(apply.size())) {
      return Http.answer(429, Cb.map("error", "too many changes"));
    }
    for (Object o : apply) {
      Map<String, Object> change = (Map<String, Object>) o;
      if (change.get("hold") != null && !holds.containsKey(Cb.num(change, "hold"))) {
        return Http.answer(400, Cb.map("error", "no such lease"));
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Object o : conditions) {
      Map<String, Object> c = (Map<String, Object>) o;
      Entry e = entries.get(Cb.text(c, "path"));
      if ((e == null ? 0 : e.stamp) != Cb.num(c, "stamp")) {
        failed.add(c.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      return Http.answer(409, Cb.map("failed", failed, "ledger", ledger));
    }
    if (!apply.isEmpty()) {
      ledger++;
    }
    for (Object o : apply) {
      Map<String, Object> change = (Map<String, Object>) o;
      if (change.containsKey("put")) {
        String key = Cb.text(change, "put");
        entries.put(key, new Entry(change.get("v"), ledger, Cb.num(change, "hold")));
        log(new Change(ledger, key, change.get("v"), true));
      } else {
        String key = Cb.text(change, "remove");
        if (entries.remove(key) != null) {
          log(new Change(ledger, key, null, false));
        }
      }
    }
    return Http.answer(200, Cb.map("ledger", ledger));
  }
}
