import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the cloud. */
final class Cloud {
  /** A machine type. */
  record Type(String label, int cores, double memGb, double pullGbPerS, double price, double readyS, List<String> sites) {}

  /** A machine. */
  static final class Host {
    String uid;
    String flavour;
    String site;
    boolean loaners;
    Type type;
    long rentedMs;
    long upMs;
    long goneMs = Long.MAX_VALUE;
    Worker worker;
  }

  private final Map<String, Type> types = new TreeMap<>();
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Map<String, List<Object>> claims = new HashMap<>();
  private final Fleet fleet;
  private final Deployment deployment;
  private final int capacity;
  private final HttpServer server;
  private int last;

  Cloud(List<Type> types, int capacity, Fleet fleet, Deployment deployment) throws IOException {
    types.forEach(t -> this.types.put(t.label(), t));
    this.capacity = capacity;
    this.fleet = fleet;
    this.deployment = deployment;
    this.server = Http.serve(this::handle);
    Thread boots =
        new Thread(
            () -> {
              while (true) {
                Clock.sleep(50);
                boot();
              }
            });
    boots.setDaemon(true);
    boots.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  private synchronized void boot() {
    for (Host h : hosts.values()) {
      if (h.worker == null && Clock.ms() >= h.upMs && h.goneMs == Long.MAX_VALUE) {
        try {
          h.worker = new Worker(h, fleet, deployment);
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
    }
  }

  private long alive() {
    return hosts.values().stream().filter(h -> h.goneMs == Long.MAX_VALUE).count();
  }

  private synchronized Http.Response handle(String method, String path, String query, byte[] body) {
    if (path.equals("/flavors")) {
      List<Object> list = new ArrayList<>();
      for (Type t : types.values()) {
        list.add(
            Cb.map("label", t.label(), "cores", (double) t.cores(), "accelerators", 0.0, "mem_gb", t.memGb(),
                "cache_gb", 100.0, "pull_gb_per_s", t.pullGbPerS(), "price", t.price(),
                "market_price", t.price() / 3, "ready_s", t.readyS(), "sites", t.sites()));
      }
      return Http.ok(Cb.map("flavours", list));
    } else if (path.equals("/rentals/release")) {
      Object names = Cb.readMap(body).get("hosts");
      for (Object name : (List<?>) names) {
        Host h = hosts.get(name);
        if (h != null && h.goneMs == Long.MAX_VALUE) {
          h.goneMs = Clock.ms();
          fleet.record.line("cloud released host=%s", name);
          if (h.worker != null) {
            h.worker.stop();
          }
        }
      }
      return Http.ok(Cb.map());
    } else if (method.equals("POST")) {
      return rent(Cb.readMap(body));
    }
    return list(query);
  }

  private Http.Response rent(Map<String, Object> request) {
    String claim = (String) request.get("claim");
    if (!claims.containsKey(claim)) {
      Type type = types.get(request.get("flavour"));
      long count = Math.min(Cb.num(request, "how_many", 1), capacity - alive());
      if (count <= 0) {
        return Http.status(503, Cb.map("error", "no capacity"));
      }
      List<Object> names = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        Host h = new Host();
        h.uid = String.format("i-%06d", ++last);
        h.type = type;
        h.flavour = type.label();
        h.site = (String) request.get("site");
        h.loaners = Boolean.TRUE.equals(request.get("loaners"));
        h.rentedMs = Clock.ms();
        h.upMs = h.rentedMs + Math.round(type.readyS() * 1000 * (0.6 + 0.4 * Math.random()));
        hosts.put(h.uid, h);
        names.add(h.uid);
      }
      claims.put(claim, names);
      fleet.record.line("cloud rented claim=%s hosts=%s", claim, names);
    }
    return Http.ok(Cb.map("hosts", claims.get(claim)));
  }

  private Http.Response list(String query) {
    String after = "";
    int page = 500;
    for (String part : query.split("&")) {
      if (part.startsWith("after=")) {
        after = part.substring(6);
      } else if (part.startsWith("page=")) {
        page = Integer.parseInt(part.substring(5));
      }
    }
    long asOfMs = Clock.ms() - Math.round(deployment.listLagS * 1000);
    List<Object> list = new ArrayList<>();
    boolean more = false;
    for (Host h : hosts.tailMap(after, false).values()) {
      if (h.rentedMs > asOfMs || h.goneMs <= asOfMs) {
        continue;
      }
      if (list.size() >= page) {
        more = true;
        break;
      }
      boolean up = h.upMs <= asOfMs && h.worker != null;
      list.add(
          Cb.map("uid", h.uid, "addr", h.worker == null ? "" : "127.0.0.1:" + h.worker.port(), "flavour",
              h.flavour, "site", h.site, "loaners", h.loaners, "status", up ? "running" : "booting",
              "age_s", (asOfMs - h.rentedMs) / 1000.0));
    }
    return Http.ok(Cb.map("hosts", list, "has_next", more));
  }
}
