import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** One huge array is submitted beside ordinary jobs. Rule: forgotten. */
final class HugeArray {
  /** A job about which no question is answered for this long counts as forgotten. */
  private static final long FORGOTTEN_MS = 75_000;

  private static final int USERS = 12;
  private static final long END_MS = 111_500;
  private static final int MACHINES = 300;

  /** The largest number of tasks that a job may have. */
  private static final int PIECES = 100_000;

  /** The tasks of the array run 4 s, half as long or half as long again. */
  private static final double RUN_S = 4;

  private static final double SPREAD = 0.5;

  private HugeArray() {}

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("review-huge-array");
    Record record = new Record(Path.of(args[1]));
    Deployment d = new Deployment(Path.of(args[0]), folder, record, 3);
    Runtime.getRuntime().addShutdownHook(new Thread(d::close));
    int code = 2;
    try {
      code = run(d, record, !"0".equals(System.getenv("TROUBLE")));
    } catch (Exception e) {
      record.line("the case could not run: %s", e);
      e.printStackTrace();
    }
    d.close();
    System.exit(code);
  }

  private static int run(Deployment d, Record record, boolean trouble) throws Exception {
    d.zone = "athens-dc";
    d.teams = team("platform-team") + team("curriculum-lab");
    d.state = new StateService.Limits(60, 20, 8, 12);
    d.cores = 0.34;
    d.ramMb = 263;
    d.maxConnections = 1200;
    d.reportS = 3;
    d.leaseS = 14;
    d.cancelS = 39;
    d.listLagS = 8;
    d.cloudRps = 6;
    Fleet fleet = new Fleet(record);
    StateService state = new StateService(d.state);
    Cloud cloud =
        new Cloud(List.of(new Cloud.Type("marker-16", 16, 64, 1.0, 1.07, 1, List.of(d.zone))), MACHINES, fleet, d);
    for (String name : d.nodeNames()) {
      d.start(name, state.port(), cloud.port());
    }
    if (!d.awaitReady(20_000)) {
      record.line("the controllers are not ready");
      return 2;
    }
    Balancer balancer = new Balancer(d, record);
    Clock.sleep(500);
    Users users = new Users(balancer.port(), balancer, fleet, record, false);
    for (int i = 0; i < USERS; i++) {
      users.start(Users.job(String.format("run-%06d", 412 + i), "resubmit-marking", "platform-team", "high", 10, 1, 2.5, 4), 4, 0.3);
    }
    Clock.sleep(400);
    Users guest = new Users(balancer.port(), balancer, fleet, record, false);
    if (trouble) {
      record.line("TROUBLE one huge array is submitted: pieces=%d", PIECES);
      fleet.leaveOutOfRecord("run-900001");
      guest.start(Users.job("run-900001", "national-reanalysis", "curriculum-lab", "best_effort", PIECES, 0.25, 0.9, RUN_S), RUN_S, SPREAD);
    }
    while (Clock.ms() < END_MS) {
      Clock.sleep(Math.min(2000, END_MS - Clock.ms()));
      record.line("state: starts=%d %s", fleet.starts(), state.summary());
    }
    if (users.seen.stream().anyMatch(s -> !s.accepted)) {
      record.line("not all ordinary jobs were accepted");
      return 2;
    }
    for (String name : d.nodeNames()) {
      record.line(
          "RESULT node=%s alive=%b ready=%b last_error=%s", name, d.node(name).process.isAlive(), d.ready(name),
          Files.readAllLines(d.node(name).log.toPath()).stream().filter(l -> l.contains("Error")).findFirst().orElse("none"));
    }
    int forgotten = 0;
    for (Users.Seen s : users.seen) {
      boolean isForgotten = s.gapMs() >= FORGOTTEN_MS;
      forgotten += isForgotten ? 1 : 0;
      record.line(
          "RESULT %s gap_s=%.1f failed_in_a_row=%d tasks_done=%d%s", s.uid, s.gapMs() / 1000.0, s.failedInARow,
          fleet.done(s.uid), isForgotten ? " FORGOTTEN" : "");
    }
    record.line("RESULT tasks_started=%d ran_twice=%d", fleet.starts(), fleet.violations().size());
    record.line("RESULT jobs=%d forgotten=%d", USERS, forgotten);
    return forgotten > 0 ? 1 : 0;
  }

  private static String team(String name) {
    return "\n[[params.teams]]\nname = \"" + name
        + "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
  }
}
