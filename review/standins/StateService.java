import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the state service: keys with revisions, transactions, leases and watches. */
final class StateService {
  /** Limits of the deployment. */
  record Limits(double rps, double writeRps, double valueKb, int txnOps) {}

  private record Entry(Object value, long stamp, long hold) {}

  private record Change(String key, Object value, boolean removed, long stamp) {}

  private static final class Bucket {
    private final double rate;
    private double tokens;
    private long lastNs = System.nanoTime();

    Bucket(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    boolean take(double n) {
      long now = System.nanoTime();
      tokens = Math.min(rate, tokens + (now - lastNs) * 1e-9 * rate);
      lastNs = now;
      if (tokens < n) {
        return false;
      }
      tokens -= n;
      return true;
    }
  }

  private static final class Hold {
    long ttlMs;
    long endsMs;
  }

  private static final int KEPT_CHANGES = 10_000;
  private final Limits limits;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final Bucket requests;
  private final Bucket writes;
  private final HttpServer server;
  private final java.util.Set<String> refused = java.util.concurrent.ConcurrentHashMap.newKeySet();
  private long ledger;
  private long dropped;
  private long lastHold;
  private long refusedRequests;
  private long refusedWrites;

  /** How long every answer takes, in ms; the request is carried out when it arrives. */
  volatile long answerMs = 3;

  StateService(Limits limits) throws IOException {
    this.limits = limits;
    this.requests = new Bucket(limits.rps());
    this.writes = new Bucket(limits.writeRps());
    this.server = Http.serve(this::handle);
    Thread expiry =
        new Thread(
            () -> {
              while (true) {
                Clock.sleep(20);
                synchronized (this) {
                  expire();
                }
              }
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** The port of one controller, which alone can be refused. */
  int portOf(String node) throws IOException {
    return Http.serve(
            (method, path, query, body) ->
                refused.contains(node)
                    ? Http.status(503, Cb.map("error", "unavailable"))
                    : handle(method, path, query, body))
        .getAddress()
        .getPort();
  }

  /** From now on, or until now, all requests of this controller get 503. */
  void refuse(String node, boolean isRefused) {
    if (isRefused) {
      refused.add(node);
    } else {
      refused.remove(node);
    }
  }

  synchronized String summary() {
    long bytes = 0;
    for (Entry e : entries.values()) {
      bytes += Cb.jsonSize(e.value());
    }
    return "keys=" + entries.size() + " json_bytes=" + bytes + " ledger=" + ledger
        + " refused_requests=" + refusedRequests + " refused_writes=" + refusedWrites;
  }

  private void expire() {
    for (Map.Entry<Long, Hold> hold : List.copyOf(holds.entrySet())) {
      if (Clock.ms() > hold.getValue().endsMs) {
        end(hold.getKey());
      }
    }
  }

  private void end(long id) {
    holds.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.hold() == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      ledger++;
      keys.forEach(key -> change(key, null, true, 0));
    }
    notifyAll();
  }

  private void change(String key, Object value, boolean removed, long hold) {
    if (removed) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(value, ledger, hold));
    }
    changes.add(new Change(key, value, removed, ledger));
    if (changes.size() > KEPT_CHANGES) {
      dropped = changes.poll().stamp();
    }
  }

  private Http.Response handle(String method, String path, String query, byte[] body)
      throws Exception {
    long startMs = Clock.ms();
    Http.Response response = carryOut(method, path, parameters(query), body);
    Clock.sleepUntil(startMs + answerMs);
    return response;
  }

  private static Map<String, String> parameters(String query) {
    Map<String, String> parameters = new HashMap<>();
    for (String part : query.split("&")) {
      int eq = part.indexOf('=');
      if (eq > 0) {
        parameters.put(
            part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    return parameters;
  }

  private synchronized Http.Response carryOut(
      String method, String path, Map<String, String> parameters, byte[] body) throws Exception {
    expire();
    if (!requests.take(1)) {
      refusedRequests++;
      return Http.status(429, Cb.map("error", "too many requests"));
    }
    if (path.equals("/txn")) {
      return transaction(Cb.readMap(body));
    } else if (path.equals("/follow")) {
      return follow(parameters);
    } else if (path.equals("/kv")) {
      return page(parameters);
    } else if (path.startsWith("/kv/")) {
      Entry e = entries.get(path.substring(4));
      return e == null
          ? Http.status(404, Cb.map("ledger", ledger))
          : Http.ok(Cb.map("path", path.substring(4), "v", e.value(), "stamp", e.stamp(), "hold", e.hold() == 0 ? null : e.hold()));
    } else if (path.equals("/holds")) {
      Hold hold = new Hold();
      hold.ttlMs = Cb.num(Cb.readMap(body), "ttl_ms", 0);
      hold.endsMs = Clock.ms() + hold.ttlMs;
      holds.put(++lastHold, hold);
      return Http.ok(Cb.map("hold", lastHold));
    } else if (path.startsWith("/holds/")) {
      String[] parts = path.split("/");
      long id = Long.parseLong(parts[2]);
      Hold hold = holds.get(id);
      if (hold == null) {
        return Http.status(404, Cb.map("error", "no such lease"));
      }
      if (method.equals("DELETE")) {
        end(id);
      } else {
        hold.endsMs = Clock.ms() + hold.ttlMs;
      }
      return Http.ok(Cb.map("hold", id));
    }
    return Http.status(404, Cb.map());
  }

  private Http.Response page(Map<String, String> parameters) {
    String prefix = parameters.getOrDefault("starts", "");
    String after = parameters.getOrDefault("after", "");
    int max = Math.min(1000, Integer.parseInt(parameters.getOrDefault("page", "1000")));
    List<Object> found = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Entry> e : entries.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      Map<String, Object> item =
          Cb.map("path", e.getKey(), "v", e.getValue().value(), "stamp", e.getValue().stamp());
      int size = Cb.jsonSize(item) + 1;
      if (found.size() >= max || bytes + size > 500 * 1024) {
        more = true;
        break;
      }
      bytes += size;
      found.add(item);
    }
    return Http.ok(Cb.map("entries", found, "has_next", more, "ledger", ledger));
  }

  private Http.Response follow(Map<String, String> parameters) throws InterruptedException {
    String prefix = parameters.getOrDefault("starts", "");
    long after = Long.parseLong(parameters.getOrDefault("after", "0"));
    long endMs = Clock.ms() + Long.parseLong(parameters.getOrDefault("wait_ms", "0"));
    if (after < dropped) {
      return Http.status(410, Cb.map("error", "too old"));
    }
    while (true) {
      List<Object> news = new ArrayList<>();
      for (java.util.Iterator<Change> i = changes.descendingIterator(); i.hasNext(); ) {
        Change c = i.next();
        if (c.stamp() <= after) {
          break;
        }
        if (c.key().startsWith(prefix)) {
          news.add(
              0,
              c.removed()
                  ? Cb.map("remove", c.key(), "stamp", c.stamp())
                  : Cb.map("put", c.key(), "v", c.value(), "stamp", c.stamp()));
        }
      }
      long leftMs = endMs - Clock.ms();
      if (!news.isEmpty() || leftMs <= 0) {
        return Http.ok(Cb.map("ledger", ledger, "news", news));
      }
      wait(leftMs);
    }
  }

  private Http.Response transaction(Map<String, Object> txn) {
    List<Map<String, Object>> conditions = Cb.maps(txn, "if");
    List<Map<String, Object>> apply = Cb.maps(txn, "apply");
    if (!apply.isEmpty() && !writes.take(apply.size())) {
      refusedWrites++;
      return Http.status(429, Cb.map("error", "too many changes"));
    }
    if (apply.size() > limits.txnOps()
        || conditions.size() > 4 * limits.txnOps()
        || Cb.jsonSize(txn) > 64 * 1024) {
      return Http.status(400, Cb.map("error", "transaction too large"));
    }
    for (Map<String, Object> change : apply) {
      if (change.containsKey("put") && Cb.jsonSize(change.get("v")) > limits.valueKb() * 1024) {
        return Http.status(400, Cb.map("error", "value too large"));
      }
      long hold = Cb.num(change, "hold", 0);
      if (hold != 0 && !holds.containsKey(hold)) {
        return Http.status(400, Cb.map("error", "no such lease"));
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : conditions) {
      Entry e = entries.get(condition.get("path"));
      if ((e == null ? 0 : e.stamp()) != Cb.num(condition, "stamp", 0)) {
        failed.add(condition.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      return Http.status(409, Cb.map("failed", failed, "ledger", ledger));
    }
    if (!apply.isEmpty()) {
      ledger++;
      for (Map<String, Object> change : apply) {
        if (change.containsKey("put")) {
          change((String) change.get("put"), change.get("v"), false, Cb.num(change, "hold", 0));
        } else {
          change((String) change.get("remove"), null, true, 0);
        }
      }
      notifyAll();
    }
    return Http.ok(Cb.map("ledger", ledger));
  }
}
