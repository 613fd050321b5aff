import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for the users' load balancer, which works on connections and probes the nodes. */
final class Balancer {
  private static final class Backend {
    String name;
    int port;
    boolean healthy;
    boolean everHealthy;
    int successes;
    int failures;
    final Deque<Boolean> lastProbes = new ArrayDeque<>();
    long unhealthySinceMs;
    long pauseMs = 3000;
    int refused;
    long skippedUntilMs;
    final Set<Socket> open = ConcurrentHashMap.newKeySet();
  }

  private final List<Backend> backends = new ArrayList<>();
  private final ServerSocket listener;
  private final Record record;
  private final Map<Socket, Backend> backendOf = new ConcurrentHashMap<>();
  private final Map<Integer, String> nodeOfClientPort = new HashMap<>();

  Balancer(Deployment deployment, Record record) throws IOException {
    this.record = record;
    for (String name : deployment.nodeNames()) {
      Backend b = new Backend();
      b.name = name;
      b.port = deployment.userPort(name);
      backends.add(b);
      start(() -> probe(b));
    }
    listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** The node that a user's connection with this local port leads to. */
  synchronized String nodeOf(int clientPort) {
    return nodeOfClientPort.getOrDefault(clientPort, "none");
  }

  private static void start(Runnable work) {
    Thread t = new Thread(work);
    t.setDaemon(true);
    t.start();
  }

  private void probe(Backend b) {
    while (true) {
      long startMs = Clock.ms();
      boolean ok = Http.call(b.port, "GET", "/ready", new byte[0], 1000).status() == 200;
      synchronized (this) {
        b.successes = ok ? b.successes + 1 : 0;
        b.failures = ok ? 0 : b.failures + 1;
        b.lastProbes.add(ok);
        if (b.lastProbes.size() > 6) {
          b.lastProbes.poll();
        }
        long failed = b.lastProbes.stream().filter(p -> !p).count();
        if (b.healthy && (b.failures >= 2 || failed >= 3)) {
          b.healthy = false;
          b.unhealthySinceMs = Clock.ms();
          record.line("balancer node=%s unhealthy", b.name);
        } else if (!b.healthy
            && (!b.everHealthy && ok
                || b.successes >= 2 && Clock.ms() - b.unhealthySinceMs >= b.pauseMs)) {
          b.pauseMs = b.everHealthy ? Math.min(60_000, 2 * b.pauseMs) : b.pauseMs;
          b.healthy = true;
          b.everHealthy = true;
          b.lastProbes.clear();
          record.line("balancer node=%s healthy", b.name);
        }
        if (!b.healthy && b.everHealthy && Clock.ms() - b.unhealthySinceMs >= 5000) {
          b.open.forEach(Balancer::reset);
          b.open.clear();
        }
      }
      Clock.sleepUntil(startMs + 1000);
    }
  }

  private static void reset(Socket s) {
    try {
      s.setSoLinger(true, 0);
      s.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket client = listener.accept();
        start(() -> open(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private synchronized Backend choose(List<Backend> tried) {
    return backends.stream()
        .filter(b -> b.healthy && !tried.contains(b) && Clock.ms() >= b.skippedUntilMs)
        .min(Comparator.comparingInt(b -> b.open.size()))
        .orElse(null);
  }

  private void open(Socket client) {
    List<Backend> tried = new ArrayList<>();
    while (tried.size() < 3) {
      Backend b = choose(tried);
      if (b == null) {
        break;
      }
      tried.add(b);
      Socket server = new Socket();
      try {
        client.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
        server.connect(new InetSocketAddress("127.0.0.1", b.port), 500);
      } catch (IOException e) {
        synchronized (this) {
          if (++b.refused >= 3) {
            b.refused = 0;
            b.skippedUntilMs = Clock.ms() + 3000;
          }
        }
        continue;
      }
      b.refused = 0;
      b.open.add(client);
      backendOf.put(client, b);
      synchronized (this) {
        nodeOfClientPort.put(client.getPort(), b.name);
      }
      start(() -> pass(client, server));
      pass(server, client);
      b.open.remove(client);
      return;
    }
    reset(client);
  }

  private static void pass(Socket from, Socket to) {
    byte[] buffer = new byte[65536];
    try {
      for (int n = from.getInputStream().read(buffer); n >= 0; n = from.getInputStream().read(buffer)) {
        to.getOutputStream().write(buffer, 0, n);
      }
    } catch (IOException e) {
      // Either side has ended the connection.
    }
    reset(from);
    reset(to);
  }
}
