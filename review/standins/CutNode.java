import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader is cut from the state service and from the other controllers, while users and workers
 * still reach it. Rule: forgotten.
 */
final class CutNode {
  private static final long FORGOTTEN_MS = 90_000;
  private static final int USERS = 12;

  private CutNode() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Path folder = Files.createTempDirectory("review-cut-node");
    Record record = new Record(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment d = new Deployment(root, folder, record, 3);
    Runtime.getRuntime().addShutdownHook(new Thread(d::close));
    int code = 2;
    try {
      code = run(d, record, trouble);
    } catch (Exception e) {
      record.line("the case could not run: %s", e);
      e.printStackTrace();
    }
    d.close();
    System.exit(code);
  }

  private static int run(Deployment d, Record record, boolean trouble) throws Exception {
    d.teams = "\n[[params.teams]]\nname = \"east-members\"\ncpus = 48.0\ncpus_max = 176.0\ngpus = 0.0\ngpus_max = 0.0\n";
    Fleet fleet = new Fleet(record);
    StateService state = new StateService(d.state);
    Cloud cloud =
        new Cloud(List.of(new Cloud.Type("mid-8", 8, 32, 1.0, 0.59, 5, List.of(d.zone))), 20, fleet, d);
    Map<String, List<Proxy>> pathsOf = new HashMap<>();
    Map<String, Integer> statePorts = new HashMap<>();
    for (String name : d.nodeNames()) {
      Proxy toState = new Proxy(state.port());
      statePorts.put(name, toState.port());
      pathsOf.computeIfAbsent(name, k -> new ArrayList<>()).add(toState);
      for (String other : d.nodeNames()) {
        if (!other.equals(name)) {
          Proxy path = new Proxy(d.node(other).back);
          d.peerPorts.put(name + " " + other, path.port());
          pathsOf.computeIfAbsent(name, k -> new ArrayList<>()).add(path);
          pathsOf.computeIfAbsent(other, k -> new ArrayList<>()).add(path);
        }
      }
    }
    for (String name : d.nodeNames()) {
      d.start(name, statePorts.get(name), cloud.port());
    }
    if (!d.awaitReady(20_000)) {
      record.line("the controllers are not ready");
      return 2;
    }
    Balancer balancer = new Balancer(d, record);
    Clock.sleep(1500);
    Users users = new Users(balancer.port(), balancer, fleet, record, false);
    for (int i = 0; i < USERS; i++) {
      users.start(Users.job(String.format("run-%06d", 412 + i), "council-minutes", "east-members", "high", 2, 2, 6.7, 10), 10, 0.2);
      Clock.sleep(50);
    }
    Clock.sleep(6500);
    if (users.seen.stream().anyMatch(s -> !s.accepted)) {
      record.line("not all jobs were accepted");
      return 2;
    }
    String leader = d.leader();
    if (leader == null) {
      record.line("no controller leads");
      return 2;
    }
    if (trouble) {
      record.line("TROUBLE the leader, node=%s, is cut from the state service and the other controllers", leader);
      pathsOf.get(leader).forEach(Proxy::cut);
    }
    long endMs = Math.min(113_000, Clock.ms() + 98_000);
    Clock.sleepUntil(endMs);
    int forgotten = 0;
    int answered = 0;
    for (Users.Seen s : users.seen) {
      boolean isForgotten = s.gapMs() >= FORGOTTEN_MS;
      forgotten += isForgotten ? 1 : 0;
      answered += Clock.ms() - s.lastAnswerMs < 15_000 ? 1 : 0;
      record.line(
          "RESULT %s node=%s gap_s=%.1f failed_in_a_row=%d%s", s.uid, s.node, s.gapMs() / 1000.0, s.failedInARow,
          isForgotten ? " FORGOTTEN" : "");
    }
    for (String name : d.nodeNames()) {
      record.line("RESULT node=%s ready=%b", name, d.ready(name));
    }
    record.line("RESULT jobs=%d answered=%d forgotten=%d", USERS, answered, forgotten);
    // The rule speaks of a job whose polls fail while most others are answered.
    return forgotten > 0 && answered > USERS / 2 ? 1 : 0;
  }
}
