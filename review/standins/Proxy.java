import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A network path to one port. While it is cut, nothing passes and nobody is told. */
final class Proxy {
  private final ServerSocket listener;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  Proxy(int target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Cuts the path: what is sent from now on is dropped, as are the connections of that time. */
  void cut() {
    cut = true;
  }

  /** Ends the cut. The connections that lost something are reset. */
  void heal() {
    cut = false;
    for (Socket s : sockets) {
      close(s);
    }
  }

  /**
   * Ends the cut. What was sent meanwhile stays lost, also the end of a connection whose sender has
   * ended: the other side, which sends nothing, does not learn of it.
   */
  void healAfterLoss() {
    cut = false;
  }

  private static void start(Runnable work) {
    Thread t = new Thread(work);
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket client = listener.accept();
        client.setTcpNoDelay(true);
        sockets.add(client);
        start(() -> open(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void open(Socket client) {
    if (cut) {
      return;
    }
    Socket server = new Socket();
    sockets.add(server);
    try {
      server.setTcpNoDelay(true);
      server.connect(new InetSocketAddress("127.0.0.1", target), 1000);
    } catch (IOException e) {
      close(client);
      close(server);
      return;
    }
    start(() -> pass(client, server));
    pass(server, client);
  }

  private void pass(Socket from, Socket to) {
    byte[] buffer = new byte[65536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (!cut) {
          out.write(buffer, 0, n);
        }
      }
    } catch (IOException e) {
      // Either side has ended the connection.
    }
    if (!cut) {
      close(from);
      close(to);
    }
  }

  private void close(Socket s) {
    sockets.remove(s);
    try {
      s.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }
}
