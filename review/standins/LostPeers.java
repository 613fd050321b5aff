import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A controller crashes several times while it is cut from the others, and later the state service
 * refuses that controller alone. Rule: forgotten.
 */
final class LostPeers {
  private static final long FORGOTTEN_MS = 90_000;
  private static final int USERS = 12;
  private static final long END_MS = 114_500;

  /** How often the controller crashes behind a cut; 0 shows what the refusal does alone. */
  private static final int CRASHES = Integer.parseInt(System.getenv().getOrDefault("CRASHES", "6"));

  private LostPeers() {}

  public static void main(String[] args) throws Exception {
    Path folder = Files.createTempDirectory("review-lost-peers");
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
    d.teams = "\n[[params.teams]]\nname = \"east-members\"\ncpus = 48.0\ncpus_max = 176.0\ngpus = 0.0\ngpus_max = 0.0\n";
    Fleet fleet = new Fleet(record);
    StateService state = new StateService(d.state);
    Cloud cloud =
        new Cloud(List.of(new Cloud.Type("mid-8", 8, 32, 1.0, 0.59, 5, List.of(d.zone))), 20, fleet, d);
    Map<String, List<Proxy>> pathsOf = new HashMap<>();
    for (String name : d.nodeNames()) {
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
      d.start(name, state.portOf(name), cloud.port());
    }
    if (!d.awaitReady(20_000)) {
      record.line("the controllers are not ready");
      return 2;
    }
    Clock.sleep(1000);
    String leader = d.leader();
    String node = d.nodeNames().stream().filter(n -> !n.equals(leader)).findFirst().orElseThrow();
    for (int i = 0; trouble && i < CRASHES; i++) {
      crashBehindCut(d, record, node, pathsOf.get(node));
    }
    Balancer balancer = new Balancer(d, record);
    Clock.sleep(1500);
    Users users = new Users(balancer.port(), balancer, fleet, record, false);
    for (int i = 0; i < USERS; i++) {
      users.start(Users.job(String.format("run-%06d", 412 + i), "council-minutes", "east-members", "high", 2, 2, 6.7, 10), 10, 0.2);
      Clock.sleep(30);
    }
    Clock.sleep(700);
    if (users.seen.stream().anyMatch(s -> !s.accepted)) {
      record.line("not all jobs were accepted");
      return 2;
    }
    if (trouble) {
      record.line("TROUBLE the state service refuses node=%s alone; all its other connections work", node);
      state.refuse(node, true);
    }
    Clock.sleepUntil(END_MS);
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
    return forgotten > 0 && answered > USERS / 2 ? 1 : 0;
  }

  /** The controller loses the others; it ends meanwhile, and is started again after the cut. */
  private static void crashBehindCut(Deployment d, Record record, String node, List<Proxy> paths)
      throws Exception {
    record.line("TROUBLE node=%s loses the other controllers and crashes", node);
    paths.forEach(Proxy::cut);
    Clock.sleep(200);
    d.signal(node, "KILL");
    Clock.sleep(300);
    paths.forEach(Proxy::healAfterLoss);
    d.restart(node);
    long endMs = Clock.ms() + 5000;
    while (Clock.ms() < endMs && !d.ready(node)) {
      Clock.sleep(50);
    }
    Clock.sleep(600);
  }
}
