import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Users, one for each job: each submits its job, polls it every 5 s, and keeps its connection. */
final class Users {
  /** What one user saw. */
  static final class Seen {
    String uid;
    volatile boolean accepted;
    volatile boolean over;
    /** When the last question was answered with 200, or the job was accepted. */
    volatile long lastAnswerMs;
    volatile long longestGapMs;
    volatile int failedInARow;
    volatile String node = "none";

    long gapMs() {
      return over ? longestGapMs : Math.max(longestGapMs, Clock.ms() - lastAnswerMs);
    }
  }

  private final int port;
  private final Balancer balancer;
  private final Fleet fleet;
  private final Record record;
  private final boolean untilOver;
  final List<Seen> seen = new ArrayList<>();

  /**
   * @param untilOver whether a user stops asking once its job is done
   */
  Users(int port, Balancer balancer, Fleet fleet, Record record, boolean untilOver) {
    this.port = port;
    this.balancer = balancer;
    this.fleet = fleet;
    this.record = record;
    this.untilOver = untilOver;
  }

  /** Starts a user with this job. */
  void start(Map<String, Object> spec, double runS, double spread) {
    Seen s = new Seen();
    s.uid = (String) spec.get("uid");
    fleet.jobs.put(s.uid, new Fleet.JobInfo(spec, runS, spread));
    seen.add(s);
    Thread t = new Thread(() -> act(s, spec), s.uid);
    t.setDaemon(true);
    t.start();
  }

  private void act(Seen s, Map<String, Object> spec) {
    Http.Connection connection = new Http.Connection(port);
    long firstMs = Clock.ms();
    while (!s.accepted) {
      Http.Response r = connection.call("POST", "/submissions", Cb.write(spec), 5000);
      record.line("user %s submits: %d %s", s.uid, r.status(), r.map());
      if (r.status() == 201 || r.status() == 200) {
        s.accepted = true;
        s.lastAnswerMs = Clock.ms();
      } else if (r.status() == 400 || r.status() == 422 || Clock.ms() - firstMs > 60_000) {
        record.line("user %s gives up", s.uid);
        s.over = true;
        return;
      } else {
        Clock.sleep(Math.round(Math.max(1, Math.min(30, r.retryAfterS())) * 1000));
      }
    }
    while (true) {
      Clock.sleep(5000);
      Http.Response r = connection.call("GET", "/submissions/" + s.uid, new byte[0], 2000);
      if (connection.localPort() != 0) {
        s.node = balancer == null ? "?" : balancer.nodeOf(connection.localPort());
      }
      record.line("user %s asks at %s: %d %s", s.uid, s.node, r.status(), r.map());
      if (r.status() == 200) {
        long now = Clock.ms();
        s.longestGapMs = Math.max(s.longestGapMs, now - s.lastAnswerMs);
        s.lastAnswerMs = now;
        s.failedInARow = 0;
        if (untilOver && "done".equals(r.map().get("status"))) {
          s.over = true;
          return;
        }
      } else {
        s.failedInARow++;
      }
    }
  }

  /** A submission with the usual fields. */
  static Map<String, Object> job(
      String uid, String jobClass, String team, String urgency, int pieces, double cores, double memGb, double expectedS) {
    return new TreeMap<>(
        Cb.map(
            "uid", uid, "jobclass", jobClass, "owner", team, "shape", "batch", "urgency", urgency, "pieces", pieces,
            "cores", cores, "accelerators", 0.0, "mem_gb", memGb, "bundle", "img-" + jobClass, "image_gb", 0.5,
            "flavours", null, "site", null, "one_zone", false, "apart", false, "loaners", true,
            "expected_s", expectedS, "save_every_s", 0.0, "save_cost_s", 0.0, "due_s", null));
  }
}
