import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The controllers as separate processes, started by the run command of the deploy file. */
final class Deployment implements AutoCloseable {
  /** One controller. */
  static final class Node {
    String name;
    int front;
    int back;
    Path config;
    Process process;
    File log;
  }

  private final Path root;
  private final Path folder;
  private final Record record;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<String> names = new ArrayList<>();
  private final List<String> command;

  /** The port at which a node reaches another, by "FROM TO"; the node's own port if absent. */
  final Map<String, Integer> peerPorts = new java.util.HashMap<>();

  /** The site's settings. */
  String zone = "kosice-hall";
  String teams = "";
  double reportS = 1.5;
  double leaseS = 10;
  double cancelS = 40;
  double listLagS = 3;
  StateService.Limits state = new StateService.Limits(80, 30, 16, 24);
  /** The table [params.state.next], or nothing. */
  String next = "";
  double cloudRps = 5;
  double cores = 0.085;
  double ramMb = 176;
  int maxConnections = 800;
  String logLevel = "info";

  Deployment(Path root, Path folder, Record record, int count) throws IOException {
    this.root = root;
    this.folder = folder;
    this.record = record;
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(root.resolve("deploy/service.toml")));
    if (!run.find()) {
      throw new IOException("no run command");
    }
    command = new ArrayList<>(List.of(run.group(1).split(" ")));
    for (int i = 0; i < count; i++) {
      Node n = new Node();
      n.name = "spindle-" + i;
      n.front = freePort();
      n.back = freePort();
      nodes.put(n.name, n);
      names.add(n.name);
    }
  }

  /** Returns a free port that no outgoing connection gets, so that a restarted node finds it free. */
  private static int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = 20_000 + ThreadLocalRandom.current().nextInt(12_000);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return s.getLocalPort();
      } catch (BindException e) {
        // In use: the next one is tried.
      }
    }
    throw new IOException("no free port");
  }

  List<String> nodeNames() {
    return names;
  }

  Node node(String name) {
    return nodes.get(name);
  }

  int userPort(String name) {
    return nodes.get(name).front;
  }

  int workerPort(String name) {
    return nodes.get(name).front;
  }

  /** Writes the settings of a controller and starts it. */
  void start(String name, int statePort, int cloudPort) throws IOException {
    Node n = nodes.get(name);
    StringBuilder s = new StringBuilder();
    s.append("member = \"").append(name).append("\"\nlocation = \"").append(zone).append("\"\n");
    s.append("front = \"127.0.0.1:").append(n.front).append("\"\nback = \"127.0.0.1:").append(n.back).append("\"\n");
    for (Node other : nodes.values()) {
      if (other != n) {
        s.append("\n[[members]]\nmember = \"").append(other.name).append("\"\nlocation = \"").append(zone);
        s.append("\"\naddress = \"127.0.0.1:").append(peerPorts.getOrDefault(name + " " + other.name, other.back)).append("\"\n");
      }
    }
    s.append("\n[outside]\ncloud = \"127.0.0.1:").append(cloudPort);
    s.append("\"\nstate = \"127.0.0.1:").append(statePort).append("\"\n");
    s.append("\n[params]\nnodes = ").append(nodes.size()).append("\nzones = [\"").append(zone);
    s.append("\"]\nskew_ms = 250.0\n").append(teams);
    s.append(
        String.format(
            Locale.ROOT,
            "%n[params.workers]%nreport_s = %s%nlease_s = %s%ngang_wait_s = 40.0%ngang_peer_s = 8.0%ncancel_s = %s%n"
                + "%n[params.state]%nrps = %s%nwrite_rps = %s%nvalue_kb = %s%ntxn_ops = %d%n"
                + "%n[params.cloud]%nrps = %s%nlist_lag_s = %s%n"
                + "%n[params.quota]%ncores = %s%nram_mb = %s%nmax_connections = %d%n",
            reportS, leaseS, cancelS, state.rps(), state.writeRps(), state.valueKb(), state.txnOps(), cloudRps,
            listLagS, cores, ramMb, maxConnections));
    s.append(next);
    n.config = folder.resolve(name + ".toml");
    Files.writeString(n.config, s);
    launch(n);
  }

  private void launch(Node n) throws IOException {
    List<String> line = new ArrayList<>(command);
    line.add(n.config.toString());
    n.log = folder.resolve(n.name + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder(line).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", logLevel);
    builder.environment().remove("JAVA_TOOL_OPTIONS");
    builder.redirectError(ProcessBuilder.Redirect.appendTo(n.log));
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(n.log));
    n.process = builder.start();
    record.line("controller started node=%s pid=%d", n.name, n.process.pid());
  }

  void restart(String name) throws IOException {
    launch(nodes.get(name));
  }

  /** Sends a signal to a controller that this run started. */
  void signal(String name, String signal) throws IOException, InterruptedException {
    record.line("signal node=%s signal=%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(nodes.get(name).process.pid())).start().waitFor();
  }

  boolean ready(String name) {
    return Http.call(nodes.get(name).front, "GET", "/ready", new byte[0], 500).status() == 200;
  }

  boolean awaitReady(long timeoutMs) {
    long end = Clock.ms() + timeoutMs;
    while (Clock.ms() < end) {
      if (names.stream().allMatch(this::ready)) {
        return true;
      }
      Clock.sleep(100);
    }
    return false;
  }

  /** The name of the leader by the status page, or null. */
  String leader() {
    for (String name : names) {
      Http.Response r = Http.call(nodes.get(name).front, "GET", "/status", new byte[0], 500);
      Matcher m = Pattern.compile("leader=(spindle-\\d+)").matcher(new String(r.body(), java.nio.charset.StandardCharsets.UTF_8));
      if (r.status() == 200 && m.find()) {
        return m.group(1);
      }
    }
    return null;
  }

  @Override
  public void close() {
    for (Node n : nodes.values()) {
      if (n.process != null) {
        n.process.destroyForcibly();
      }
    }
  }
}
