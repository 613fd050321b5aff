import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Three controllers with their state service, cloud, workers and users, with the settings of a small deployment. */
final class Deployment {
  /** Thrown if the case can't run: exit code 2. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
      super(message);
    }
  }

  /** Settings in the platform's form, from [params] on; the figures are those of Athens in the brief. */
  static final String ATHENS =
      """
      [params]
      nodes = 3
      zones = ["athens-dc"]
      skew_ms = 250.0

      [[params.teams]]
      name = "platform-team"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0

      [[params.objectives]]
      kind = "deadline"
      class = "resubmit-marking"
      share = 0.96
      times = 1.0

      [params.workers]
      report_s = 3.0
      lease_s = 14.0
      gang_wait_s = 40.0
      gang_peer_s = 8.0
      cancel_s = 39.0

      [params.state]
      rps = 60.0
      write_rps = 20.0
      value_kb = 8.0
      txn_ops = 12

      [params.cloud]
      rps = 6.0
      list_lag_s = 8.0

      [params.quota]
      cores = 0.34
      ram_mb = 263.0
      max_connections = 1200
      """;

  final Rules rules;
  final Cluster cluster;
  final StateService state;
  final Platform platform;
  final StateService.Front[] fronts = new StateService.Front[3];
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  /** A deployment like that of Athens: one type of machine, and one team without a limit. */
  static Deployment athens(Path record) throws Exception {
    return new Deployment(record, ATHENS, "athens-dc", new StateService(60, 20, 8 * 1024, 12),
        List.of(new Platform.Flavour("marker-16", 16, 64, 1.07, 0.39, 30, 13, 27)), 3, 14, 39);
  }

  private Deployment(Path record, String params, String site, StateService state, List<Platform.Flavour> flavours,
      double reportS, double leaseS, double cancelS) throws Exception {
    this.rules = new Rules(new PrintWriter(record.toFile(), "UTF-8"));
    this.rules.cancelMs = Math.round(cancelS * 1000);
    this.cluster = new Cluster(rules, 3);
    cluster.writeSettings(site, params);
    this.state = state;
    this.platform = new Platform(rules, flavours, site, reportS, leaseS, 2);
    for (int i = 0; i < 3; i++) {
      Cluster.Controller c = cluster.controllers.get(i);
      fronts[i] = state.open(c.name, c.statePort);
      platform.open(c.cloudPort);
      platform.fronts.put(c.name, c.front);
      platform.frontNames.add(c.name);
    }
    rules.say("trouble " + trouble);
  }

  /** A batch job of the class resubmit-marking. */
  Rules.Job job(String uid, int pieces, double cores, double runS) {
    Map<String, Object> spec =
        Cb.map("uid", uid, "jobclass", "resubmit-marking", "owner", "platform-team", "shape", "batch",
            "urgency", "high", "pieces", pieces, "cores", cores, "accelerators", 0.0, "mem_gb", 2.5,
            "bundle", "img-01", "image_gb", 0.6, "flavours", null, "site", null, "one_zone", false, "apart", false,
            "loaners", true, "expected_s", runS, "save_every_s", 0.0, "save_cost_s", 0.0, "due_s", 300.0);
    return rules.add(new Rules.Job(spec, runS));
  }

  /** Waits for what a deployment without trouble does in this time; the case can't run otherwise. */
  void await(String what, long ms, BooleanSupplier condition) throws InterruptedException {
    long end = rules.now() + ms;
    while (!condition.getAsBoolean()) {
      if (rules.now() > end) {
        throw new CannotRun("not in time: " + what);
      }
      Thread.sleep(100);
    }
  }

  interface Body {
    /** Plays the case; whether the rule held. */
    boolean play(Deployment d) throws Exception;
  }

  /** Plays a case of at most 118 s and ends the program with its exit code. */
  static void main(Path record, Body body) {
    Thread limit =
        new Thread(
            () -> {
              try {
                Thread.sleep(118_000);
              } catch (InterruptedException e) {
                return;
              }
              System.out.println("the case took too long");
              System.exit(2);
            });
    limit.setDaemon(true);
    limit.start();
    int code;
    try {
      Deployment d = athens(record);
      try {
        boolean held = body.play(d);
        d.cluster.recordLogs(6);
        d.rules.say(held ? "the rule held" : "the rule was broken");
        System.out.println(held ? "the rule held" : "the rule was broken");
        code = held ? 0 : 1;
      } catch (CannotRun e) {
        d.cluster.recordLogs(20);
        d.rules.say("the case could not run: " + e.getMessage());
        System.out.println("the case could not run: " + e.getMessage());
        code = 2;
      }
    } catch (Exception e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }
}
