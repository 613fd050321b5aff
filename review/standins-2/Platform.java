import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** The cloud and the workers on its machines. */
final class Platform {
  record Flavour(String label, double cores, double memGb, double price, double market, double readyS, int ordinary, int spot) {}

  final Rules rules;
  final List<Flavour> flavours;
  final String site;
  final double reportS;
  final double leaseS;
  final double bootS;
  final Map<String, Integer> fronts = new LinkedHashMap<>();
  final List<String> frontNames = new ArrayList<>();
  final TreeMap<String, Worker> machines = new TreeMap<>();
  final Map<String, List<Object>> claims = new LinkedHashMap<>();
  final Random random = new Random(7);
  volatile boolean cloudOutage;
  volatile boolean stopped;
  int created;
  int released;

  Platform(Rules rules, List<Flavour> flavours, String site, double reportS, double leaseS, double bootS) {
    this.rules = rules;
    this.flavours = flavours;
    this.site = site;
    this.reportS = reportS;
    this.leaseS = leaseS;
    this.bootS = bootS;
    Thread tick = new Thread(this::tick);
    tick.setDaemon(true);
    tick.start();
  }

  void open(int port) throws IOException {
    Http.serve(port, this::handle);
  }

  private void tick() {
    while (!stopped) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      List<Worker> all;
      synchronized (this) {
        all = new ArrayList<>(machines.values());
      }
      all.forEach(Worker::tick);
    }
  }

  private Flavour flavour(String label) {
    return flavours.stream().filter(f -> f.label.equals(label)).findFirst().orElse(null);
  }

  private Http.Response handle(String method, String path, String query, byte[] body) throws Exception {
    Thread.sleep(50);
    if (cloudOutage) {
      return Http.answer(503, Cb.map("error", "trouble"));
    }
    synchronized (this) {
      if (path.equals("/flavors")) {
        List<Object> list = new ArrayList<>();
        for (Flavour f : flavours) {
          list.add(
              Cb.map("label", f.label, "cores", f.cores, "accelerators", 0.0, "mem_gb", f.memGb, "cache_gb", 50.0,
                  "pull_gb_per_s", 1.0, "price", f.price, "market_price", f.market, "ready_s", f.readyS,
                  "sites", List.of(site)));
        }
        return Http.answer(200, Cb.map("flavours", list));
      }
      if (path.equals("/rentals") && method.equals("POST")) {
        return rent(Cb.readMap(body));
      }
      if (path.equals("/rentals/release")) {
        for (Object host : Cb.list(Cb.readMap(body), "hosts")) {
          Worker w = machines.remove(host);
          if (w != null) {
            released++;
            w.kill("released");
          }
        }
        return Http.answer(200, Cb.map());
      }
      if (path.equals("/rentals")) {
        String after = "";
        for (String p : (query == null ? "" : query).split("&")) {
          after = p.startsWith("after=") ? p.substring(6) : after;
        }
        List<Object> list = new ArrayList<>();
        for (Worker w : machines.tailMap(after, false).values()) {
          list.add(
              Cb.map("uid", w.host, "addr", "127.0.0.1:" + w.port, "flavour", w.flavour, "site", site, "loaners", w.spot,
                  "status", w.isUp() ? "running" : "booting", "age_s", (rules.now() - w.rentedMs) / 1000.0));
        }
        return Http.answer(200, Cb.map("hosts", list, "has_next", false));
      }
      return Http.answer(400, Cb.map("error", "bad request"));
    }
  }

  private Http.Response rent(Map<String, Object> body) throws IOException {
    String claim = Cb.text(body, "claim");
    if (claims.containsKey(claim)) {
      return Http.answer(200, Cb.map("hosts", claims.get(claim)));
    }
    Flavour f = flavour(Cb.text(body, "flavour"));
    boolean spot = Boolean.TRUE.equals(body.get("loaners"));
    if (f == null) {
      return Http.answer(400, Cb.map("error", "malformed"));
    }
    long held = machines.values().stream().filter(w -> w.flavour.equals(f.label) && w.spot == spot).count();
    long n = Math.min(Cb.num(body, "how_many"), (spot ? f.spot : f.ordinary) - held);
    if (n <= 0) {
      return Http.answer(503, Cb.map("error", "no capacity"));
    }
    List<Object> hosts = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      String host = String.format("i-%06d", ++created);
      Worker w = new Worker(host, f, spot);
      machines.put(host, w);
      hosts.add(host);
      w.start();
    }
    claims.put(claim, hosts);
    rules.say("rented " + hosts + " " + f.label + " spot " + spot);
    return Http.answer(200, Cb.map("hosts", hosts));
  }

  final class Piece {
    final String name;
    final long attempt;
    String status = "fetching";
    String cause;
    long since = rules.now();

    Piece(String name, long attempt) {
      this.name = name;
      this.attempt = attempt;
    }

    boolean isOn() {
      return status.equals("running") || status.equals("saving");
    }
  }

  final class Worker {
    final String host;
    final String flavour;
    final Flavour type;
    final boolean spot;
    final int port;
    final long rentedMs = rules.now();
    final long upMs = rentedMs + (long) (bootS * 1000);
    private HttpServer server;
    final List<Piece> pieces = new ArrayList<>();
    long tenure = 1;
    long tally;
    long warrant;
    long leaseFromMs = upMs;
    boolean changed;
    boolean dead;
    /** The network of the machine is cut: no report is sent and nothing is received. */
    volatile boolean cut;
    volatile boolean hung;
    int front;

    Worker(String host, Flavour type, boolean spot) throws IOException {
      this.port = Http.freePort();
      this.host = host;
      this.type = type;
      this.flavour = type.label;
      this.spot = spot;
    }

    boolean isUp() {
      return rules.now() >= upMs;
    }

    void start() throws IOException {
      server = Http.serve(port, this::direct);
      front = random.nextInt(Math.max(1, frontNames.size()));
      Thread t = new Thread(this::report);
      t.setDaemon(true);
      t.start();
    }

    synchronized void kill(String why) {
      dead = true;
      for (Piece p : pieces) {
        if (p.isOn()) {
          rules.gone(p.name, host, why);
        }
      }
      pieces.clear();
      server.stop(0);
    }

    private Http.Response direct(String method, String path, String query, byte[] body) throws Exception {
      while (cut || hung) {
        if (dead) {
          return null;
        }
        Thread.sleep(20);
      }
      synchronized (this) {
        if (dead || !isUp()) {
          return null;
        }
        if (path.equals("/inspect")) {
          return Http.answer(200, message());
        }
        Map<String, Object> b = Cb.readMap(body);
        if (!b.containsKey("warrant") || !b.containsKey("tenure")) {
          return Http.answer(400, Cb.map());
        }
        if (Cb.num(b, "warrant") < warrant || Cb.num(b, "tenure") != tenure) {
          return Http.answer(409, message());
        }
        raise(Cb.num(b, "warrant"));
        execute(Cb.list(b, "orders"));
        return Http.answer(200, message());
      }
    }

    private void raise(long token) {
      if (token > warrant) {
        warrant = token;
        changed = true;
      }
    }

    private Map<String, Object> message() {
      tally++;
      List<Object> list = new ArrayList<>();
      for (Piece p : pieces) {
        Map<String, Object> m = Cb.map("piece", p.name, "try", p.attempt, "status", p.status);
        if (p.cause != null) {
          m.put("cause", p.cause);
        }
        list.add(m);
      }
      return Cb.map("host", host, "addr", "127.0.0.1:" + port, "flavour", flavour, "site", site, "loaners", spot,
          "tenure", tenure, "tally", tally, "warrant", warrant, "recall_s", null, "pieces", list);
    }

    @SuppressWarnings("unchecked")
    private void execute(List<Object> orders) {
      for (Object o : orders) {
        Map<String, Object> order = (Map<String, Object>) o;
        String piece = Cb.text(order, "piece");
        long attempt = Cb.num(order, "try");
        Piece known = pieces.stream().filter(p -> p.name.equals(piece) && p.attempt == attempt).findFirst().orElse(null);
        switch (Cb.text(order, "verb")) {
          case "launch" -> {
            if (known == null) {
              launch(piece, attempt);
              changed = true;
            }
          }
          case "stop" -> {
            if (known != null && !known.status.equals("exited")) {
              exit(known, "stopped");
            }
          }
          case "forget" -> {
            if (known != null && known.status.equals("exited")) {
              pieces.remove(known);
              changed = true;
            }
          }
          default -> throw new IllegalStateException("verb " + order);
        }
      }
    }

    private void launch(String piece, long attempt) {
      Piece p = new Piece(piece, attempt);
      Rules.Job job = rules.get(Rules.uidOf(piece));
      double cores = 0;
      for (Piece other : pieces) {
        if (!other.status.equals("exited")) {
          cores += Cb.dbl(rules.get(Rules.uidOf(other.name)).spec, "cores");
        }
      }
      if (job == null || !job.submitted) {
        refuse(p, "no_such");
      } else if (pieces.stream().anyMatch(o -> o.name.equals(piece) && !o.status.equals("exited"))) {
        refuse(p, "busy");
      } else if (cores + Cb.dbl(job.spec, "cores") > type.cores + 1e-9) {
        refuse(p, "no_room");
      }
      pieces.add(p);
    }

    private void refuse(Piece p, String why) {
      p.status = "exited";
      p.cause = why;
    }

    private void exit(Piece p, String why) {
      boolean on = p.isOn();
      p.status = "exited";
      p.cause = why;
      changed = true;
      if (on) {
        rules.gone(p.name, host, why);
      }
    }

    void tick() {
      synchronized (this) {
        if (dead || !isUp()) {
          return;
        }
        long now = rules.now();
        if (now - leaseFromMs > leaseS * 1000) {
          for (Piece p : pieces) {
            if (p.isOn()) {
              rules.gone(p.name, host, "lease expired");
            }
          }
          pieces.clear();
          tenure++;
          leaseFromMs = now;
          changed = true;
          rules.say("lease expired on " + host);
        }
        for (Piece p : hung ? List.<Piece>of() : pieces) {
          Rules.Job job = rules.get(Rules.uidOf(p.name));
          if (p.status.equals("fetching") && now - p.since > 300) {
            p.status = "running";
            p.since = now;
            changed = true;
            rules.started(p.name, p.attempt, host, flavour, spot);
          } else if (p.status.equals("running") && job.runS > 0
              && (now - p.since > job.runS * 1000 || job.doneTasks.contains(Rules.taskOf(p.name)))) {
            exit(p, "done");
          }
        }
      }
    }

    private void report() {
      Http.Client client = null;
      long next = upMs;
      long last = 0;
      try {
        while (!dead && !stopped) {
          Thread.sleep(10);
          long now = rules.now();
          boolean due;
          synchronized (this) {
            due = isUp() && !cut && !hung && (now >= next || changed && now - last >= 500);
          }
          if (!due) {
            continue;
          }
          byte[] body;
          long sentTenure;
          synchronized (this) {
            changed = false;
            sentTenure = tenure;
            body = Cb.write(message());
          }
          last = now;
          next = now + (long) (reportS * 1000 * (0.75 + random.nextDouble() / 2));
          if (client == null) {
            client = new Http.Client(fronts.get(frontNames.get(front)));
          }
          try {
            Http.Response r = client.send("POST", "/checkin", body, 4000);
            if (cut) {
              throw new IOException("cut");
            }
            if (r.status() == 200) {
              Map<String, Object> b = r.map();
              synchronized (this) {
                if (!dead && tenure == sentTenure && Cb.num(b, "warrant") >= warrant && rules.now() - now < 4000) {
                  raise(Cb.num(b, "warrant"));
                  leaseFromMs = Math.max(leaseFromMs, now);
                  execute(Cb.list(b, "orders"));
                }
              }
              continue;
            }
            client.close();
            client = null;
            if (r.status() != 421) {
              rules.say("report of " + host + ", " + body.length + " bytes -> " + r.status());
            }
            String steward = r.status() == 421 && r.body().length > 0 ? Cb.text(r.map(), "steward") : "";
            int named = frontNames.indexOf(steward);
            if (named >= 0 && named != front) {
              front = named;
              next = rules.now();
              continue;
            }
          } catch (IOException e) {
            rules.say("report of " + host + ", " + body.length + " bytes -> " + e.getMessage());
            client = null;
          }
          front = (front + 1) % frontNames.size();
          Thread.sleep(1000);
          next = rules.now();
        }
      } catch (InterruptedException e) {
        // Ends.
      }
    }
  }
}
