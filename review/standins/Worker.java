import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A stand-in for the worker of one machine. */
final class Worker {
  private static final class Task {
    final String piece;
    final long attempt;
    final String uid;
    String status = "fetching";
    String cause;
    boolean stored;
    double cores;
    double memGb;
    long readyMs;
    long endMs;

    Task(String piece, long attempt) {
      this.piece = piece;
      this.attempt = attempt;
      this.uid = piece.substring(0, piece.indexOf('/'));
    }

    boolean isExited() {
      return status.equals("exited");
    }
  }

  private final Cloud.Host host;
  private final Fleet fleet;
  private final Deployment deployment;
  private final HttpServer server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private long tenure = 1;
  private long tally;
  private long warrant;
  private long leaseFromMs = Clock.ms();
  private long reportedWarrantMs;
  private boolean changed = true;
  private boolean stopped;
  private String node;

  Worker(Cloud.Host host, Fleet fleet, Deployment deployment) throws IOException {
    this.host = host;
    this.fleet = fleet;
    this.deployment = deployment;
    this.node = deployment.nodeNames().get(0);
    this.server = Http.serve(this::handle);
    Thread reports = new Thread(this::reportLoop, host.uid);
    reports.setDaemon(true);
    reports.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** The machine is gone with all that is on it. */
  synchronized void stop() {
    stopped = true;
    killAll("gone");
    server.stop(0);
  }

  private void killAll(String how) {
    for (Task t : tasks.values()) {
      if (t.status.equals("running") || t.status.equals("saving")) {
        fleet.ended(t.piece, host.uid, how);
      }
    }
    tasks.clear();
  }

  private synchronized void advance() {
    long now = Clock.ms();
    if (now - leaseFromMs > deployment.leaseS * 1000) {
      killAll("lease");
      tenure++;
      leaseFromMs = now;
      changed = true;
    }
    for (Task t : tasks.values()) {
      if (t.status.equals("fetching") && now >= t.readyMs) {
        images.add(image(t));
        t.status = "running";
        fleet.started(t.piece, host.uid);
        t.endMs = fleet.isDone(t.piece) ? now : now + fleet.jobs.get(t.uid).runMs();
        changed = true;
      }
      if (t.status.equals("running") && now >= t.endMs) {
        exit(t, "done");
      }
    }
  }

  private String image(Task t) {
    return (String) fleet.jobs.get(t.uid).spec().get("bundle");
  }

  private void exit(Task t, String cause) {
    if (t.status.equals("running") || t.status.equals("saving")) {
      fleet.ended(t.piece, host.uid, cause);
    }
    t.status = "exited";
    t.cause = cause;
    changed = true;
  }

  private synchronized Map<String, Object> report() {
    tally++;
    List<Object> pieces = new ArrayList<>();
    for (Task t : tasks.values()) {
      Map<String, Object> p = Cb.map("piece", t.piece, "try", t.attempt, "status", t.status);
      if (t.isExited()) {
        p.put("cause", t.cause);
        if (t.stored) {
          p.put("stored", true);
        }
      }
      pieces.add(p);
    }
    return Cb.map(
        "host", host.uid, "addr", "127.0.0.1:" + port(), "flavour", host.flavour, "site", host.site,
        "loaners", host.loaners, "tenure", tenure, "tally", tally, "warrant", warrant,
        "recall_s", null, "pieces", pieces);
  }

  private void carryOut(List<Map<String, Object>> orders) {
    for (Map<String, Object> order : orders) {
      String piece = (String) order.get("piece");
      long attempt = Cb.num(order, "try", 0);
      String key = piece + "#" + attempt;
      Task t = tasks.get(key);
      switch ((String) order.get("verb")) {
        case "launch" -> {
          if (t == null) {
            tasks.put(key, launch(piece, attempt));
            changed = true;
          }
        }
        case "stop" -> {
          if (t != null && !t.isExited()) {
            exit(t, "stopped");
          }
        }
        case "forget" -> {
          if (t != null && t.isExited()) {
            tasks.remove(key);
          }
        }
        default -> throw new IllegalArgumentException("verb");
      }
    }
  }

  private Task launch(String piece, long attempt) {
    Task t = new Task(piece, attempt);
    Fleet.JobInfo job = fleet.jobs.get(t.uid);
    double usedCores = 0;
    double usedMem = 0;
    boolean busy = false;
    for (Task other : tasks.values()) {
      if (!other.isExited()) {
        usedCores += other.cores;
        usedMem += other.memGb;
        busy |= other.piece.equals(piece);
      }
    }
    if (job == null) {
      exit(t, "no_such");
    } else if (busy) {
      exit(t, "busy");
    } else {
      t.cores = Cb.real(job.spec(), "cores", 0);
      t.memGb = Cb.real(job.spec(), "mem_gb", 0);
      if (usedCores + t.cores > host.type.cores() + 1e-9 || usedMem + t.memGb > host.type.memGb() + 1e-9) {
        exit(t, "no_room");
      } else {
        double fetchS = images.contains(image(t)) ? 0 : Cb.real(job.spec(), "image_gb", 0) / host.type.pullGbPerS();
        t.readyMs = Clock.ms() + Math.round(fetchS * 1000);
      }
    }
    return t;
  }

  private synchronized Http.Response handle(String method, String path, String query, byte[] body) {
    if (stopped) {
      return null;
    }
    advance();
    if (path.equals("/inspect")) {
      return Http.ok(report());
    }
    Map<String, Object> request = Cb.readMap(body);
    if (!request.containsKey("warrant") || !request.containsKey("tenure")) {
      return Http.status(400, Cb.map());
    }
    if (Cb.num(request, "warrant", 0) < warrant || Cb.num(request, "tenure", 0) != tenure) {
      return Http.status(409, report());
    }
    see(Cb.num(request, "warrant", 0));
    carryOut(Cb.maps(request, "orders"));
    advance();
    return Http.ok(report());
  }

  private void see(long token) {
    if (token > warrant) {
      warrant = token;
      if (Clock.ms() - reportedWarrantMs > deployment.leaseS * 500) {
        reportedWarrantMs = Clock.ms();
        changed = true;
      }
    }
  }

  private void reportLoop() {
    Http.Connection connection = null;
    String connectedTo = null;
    long lastMs = -10_000;
    long nextMs = 0;
    while (true) {
      synchronized (this) {
        if (stopped) {
          return;
        }
        advance();
      }
      long now = Clock.ms();
      if (now < nextMs && !(changed && now - lastMs >= 500)) {
        Clock.sleep(20);
        continue;
      }
      if (connection == null || !node.equals(connectedTo)) {
        if (connection != null) {
          connection.close();
        }
        connection = new Http.Connection(deployment.workerPort(node));
        connectedTo = node;
      }
      byte[] body;
      long reportTenure;
      synchronized (this) {
        changed = false;
        reportTenure = tenure;
        body = Cb.write(report());
      }
      lastMs = Clock.ms();
      Http.Response response = connection.call("POST", "/checkin", body, 4000);
      nextMs = lastMs + Math.round(deployment.reportS * 1000 * (0.75 + 0.5 * Math.random()));
      if (response.status() == 200) {
        accept(response.map(), reportTenure, lastMs);
        continue;
      }
      String steward = response.status() == 421 ? (String) response.map().get("steward") : null;
      if (steward != null && !steward.equals(node) && deployment.nodeNames().contains(steward)) {
        node = steward;
        Clock.sleep(Math.round(Math.random() * 500));
        nextMs = 0;
      } else {
        List<String> names = deployment.nodeNames();
        node = names.get((names.indexOf(node) + 1) % names.size());
        connection.close();
        Clock.sleep(1000);
        nextMs = 0;
      }
    }
  }

  private synchronized void accept(Map<String, Object> response, long reportTenure, long sentMs) {
    if (reportTenure != tenure || !response.containsKey("warrant") || Cb.num(response, "warrant", 0) < warrant) {
      return;
    }
    see(Cb.num(response, "warrant", 0));
    leaseFromMs = Math.max(leaseFromMs, sentMs);
    carryOut(Cb.maps(response, "orders"));
    advance();
  }
}
