import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A plain HTTP/1.1 client and server for the stand-ins, on loopback addresses. */
final class Http {
  private Http() {}

  /** A response; status 0 means that none arrived in time. */
  record Response(int status, byte[] body, double retryAfterS) {
    static final Response NONE = new Response(0, new byte[0], 0);

    java.util.Map<String, Object> map() {
      try {
        return Cb.readMap(body);
      } catch (RuntimeException e) {
        return java.util.Map.of();
      }
    }
  }

  /** A client's connection, which stays open until either side ends it or a call fails. */
  static final class Connection implements AutoCloseable {
    private final int port;
    private Socket socket;
    private InputStream in;

    Connection(int port) {
      this.port = port;
    }

    boolean isOpen() {
      return socket != null;
    }

    /** The local port of the open connection, or 0. */
    int localPort() {
      return socket == null ? 0 : socket.getLocalPort();
    }

    Response call(String method, String path, byte[] body, long timeoutMs) {
      boolean reused = socket != null;
      Response response = once(method, path, body, timeoutMs);
      return response == null && reused ? orNone(once(method, path, body, timeoutMs)) : orNone(response);
    }

    private static Response orNone(Response r) {
      return r == null ? Response.NONE : r;
    }

    /** Returns null if the connection failed before any byte of a response. */
    private Response once(String method, String path, byte[] body, long timeoutMs) {
      long endMs = Clock.ms() + timeoutMs;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress("127.0.0.1", port), (int) timeoutMs);
          in = new BufferedInputStream(socket.getInputStream());
        }
        byte[] head =
            (method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nContent-Length: "
                    + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        socket.getOutputStream().write(all);
        return read(endMs);
      } catch (java.net.SocketTimeoutException e) {
        close();
        return Response.NONE;
      } catch (IOException e) {
        close();
        return null;
      }
    }

    private int readByte(long endMs) throws IOException {
      long left = endMs - Clock.ms();
      if (left <= 0) {
        throw new java.net.SocketTimeoutException();
      }
      socket.setSoTimeout((int) left);
      int b = in.read();
      if (b < 0) {
        throw new IOException("closed");
      }
      return b;
    }

    private String line(long endMs) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int b = readByte(endMs); b != '\n'; b = readByte(endMs)) {
        if (b != '\r') {
          line.append((char) b);
        }
      }
      return line.toString();
    }

    private Response read(long endMs) throws IOException {
      String status = line(endMs);
      int code = Integer.parseInt(status.split(" ")[1]);
      int length = 0;
      double retryAfterS = 0;
      boolean close = false;
      boolean chunked = false;
      for (String header = line(endMs); !header.isEmpty(); header = line(endMs)) {
        String lower = header.toLowerCase(java.util.Locale.ROOT);
        if (lower.startsWith("content-length:")) {
          length = Integer.parseInt(lower.substring(15).trim());
        } else if (lower.startsWith("retry-after:")) {
          retryAfterS = Double.parseDouble(lower.substring(12).trim());
        } else if (lower.startsWith("connection:") && lower.contains("close")) {
          close = true;
        } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
          chunked = true;
        }
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      if (chunked) {
        for (int n = Integer.parseInt(line(endMs).trim(), 16); n > 0;
            n = Integer.parseInt(line(endMs).trim(), 16)) {
          copy(body, n, endMs);
          line(endMs);
        }
        line(endMs);
      } else {
        copy(body, length, endMs);
      }
      if (close) {
        close();
      }
      return new Response(code, body.toByteArray(), retryAfterS);
    }

    private void copy(ByteArrayOutputStream body, int n, long endMs) throws IOException {
      byte[] buffer = new byte[Math.min(n, 65536)];
      for (int done = 0; done < n; ) {
        long left = endMs - Clock.ms();
        if (left <= 0) {
          throw new java.net.SocketTimeoutException();
        }
        socket.setSoTimeout((int) left);
        int count = in.read(buffer, 0, Math.min(buffer.length, n - done));
        if (count < 0) {
          throw new IOException("closed");
        }
        body.write(buffer, 0, count);
        done += count;
      }
    }

    @Override
    public void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // The connection is given up.
      }
      socket = null;
    }
  }

  /** One call on a connection of its own. */
  static Response call(int port, String method, String path, byte[] body, long timeoutMs) {
    try (Connection connection = new Connection(port)) {
      return connection.call(method, path, body, timeoutMs);
    }
  }

  interface Handler {
    Response handle(String method, String path, String query, byte[] body) throws Exception;
  }

  static Response ok(Object body) {
    return new Response(200, Cb.write(body), 0);
  }

  static Response status(int status, Object body) {
    return new Response(status, Cb.write(body), 0);
  }

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });

  /** Serves on a free port of the loopback address; a handler's null leaves a request unanswered. */
  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1000);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Response response;
    try {
      response =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              String.valueOf(exchange.getRequestURI().getRawQuery()),
              body);
    } catch (Exception e) {
      e.printStackTrace();
      response = status(400, Cb.map("error", "malformed"));
    }
    if (response == null) {
      exchange.close();
      return;
    }
    exchange.sendResponseHeaders(response.status(), response.body().length == 0 ? -1 : response.body().length);
    exchange.getResponseBody().write(response.body());
    exchange.close();
  }
}
