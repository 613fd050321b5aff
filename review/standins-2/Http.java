import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 on the loopback interface: a server whose handler may also give no answer, and a client. */
final class Http {
  private Http() {}

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.idleInterval", "600");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
  }

  static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });

  record Response(int status, byte[] body, Map<String, String> headers) {
    Map<String, Object> map() {
      return Cb.readMap(body);
    }
  }

  static Response answer(int status, Object body) {
    return new Response(status, Cb.write(body), Map.of());
  }

  interface Handler {
    /** Returns the response; null: none is sent and the connection is closed. */
    Response handle(String method, String path, String query, byte[] body) throws Exception;
  }

  private static final java.util.Set<Integer> GIVEN = new java.util.HashSet<>();
  private static final java.util.Random PORTS = new java.util.Random();

  /** A port that nothing listens on, below those that the system gives to outgoing connections. */
  static synchronized int freePort() throws IOException {
    while (true) {
      int port = 12_000 + PORTS.nextInt(20_000);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (GIVEN.add(port)) {
          return s.getLocalPort();
        }
      } catch (java.net.BindException e) {
        // In use: another one is tried.
      }
    }
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
    server.setExecutor(POOL);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Response response =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              exchange.getRequestURI().getRawQuery(),
              body);
      if (response != null) {
        response.headers().forEach((k, v) -> exchange.getResponseHeaders().set(k, v));
        exchange.sendResponseHeaders(
            response.status(), response.body().length == 0 ? -1 : response.body().length);
        exchange.getResponseBody().write(response.body());
      }
    } catch (IOException e) {
      // The caller has gone.
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      exchange.close();
    }
  }

  /** One connection, opened when it is needed. Not safe for several threads. */
  static final class Client {
    final int port;
    private Socket socket;
    private InputStream in;

    Client(int port) {
      this.port = port;
    }

    void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // It is closed as far as can be.
      }
      socket = null;
    }

    /** Throws IOException if no response arrives in time; the connection is closed then. */
    Response send(String method, String path, byte[] body, int timeoutMs) throws IOException {
      try {
        long end = System.nanoTime() + timeoutMs * 1_000_000L;
        if (socket == null) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMs, 500));
          in = new BufferedInputStream(socket.getInputStream());
        }
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\n"
                + (body == null ? "" : "Content-Type: application/cbor\r\nContent-Length: " + body.length + "\r\n")
                + "\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
          out.writeBytes(body);
        }
        socket.getOutputStream().write(out.toByteArray());
        return receive(end);
      } catch (IOException e) {
        close();
        throw e;
      }
    }

    private Response receive(long end) throws IOException {
      String status = line(end);
      int code = Integer.parseInt(status.split(" ")[1]);
      Map<String, String> headers = new HashMap<>();
      for (String l = line(end); !l.isEmpty(); l = line(end)) {
        int colon = l.indexOf(':');
        headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
      }
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] body = new byte[length];
      for (int read = 0; read < length; ) {
        timeout(end);
        int n = in.read(body, read, length - read);
        if (n < 0) {
          throw new IOException("closed in body");
        }
        read += n;
      }
      if ("close".equalsIgnoreCase(headers.get("connection"))) {
        close();
      }
      return new Response(code, body, headers);
    }

    private void timeout(long end) throws IOException {
      long ms = (end - System.nanoTime()) / 1_000_000;
      if (ms <= 0) {
        throw new IOException("no response in time");
      }
      socket.setSoTimeout((int) ms);
    }

    private String line(long end) throws IOException {
      StringBuilder text = new StringBuilder();
      while (true) {
        timeout(end);
        int c = in.read();
        if (c < 0) {
          throw new IOException("closed");
        }
        if (c == '\n') {
          return text.toString();
        }
        if (c != '\r') {
          text.append((char) c);
        }
      }
    }
  }
}
