package org.ploverspindle.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Address;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against faults of the HTTP server that show only on real sockets: routing, statuses and
 * headers, bodies that are too large or incomplete, and the connections kept for workers. Runs on
 * loopback with a request handler that responds at once.
 */
class UserApiTest {
  private static final class EchoHandler implements UserApi.RequestHandler {
    @Override
    public void submit(byte[] body, Consumer<ApiResponse> responder) {
      responder.accept(ApiResponse.of(201, Cbor.write(Cbor.map().put("size", body.length))));
    }

    @Override
    public void poll(String uid, Consumer<ApiResponse> responder) {
      responder.accept(ApiResponse.of(200, Cbor.write(Cbor.map().put("uid", uid))));
    }

    @Override
    public void cancel(String uid, Consumer<ApiResponse> responder) {
      responder.accept(ApiResponse.retryLater(503, "later", 3));
    }

    @Override
    public void heartbeat(byte[] body, Consumer<ApiResponse> responder) {
      responder.accept(ApiResponse.redirectToLeader("n2"));
    }

    @Override
    public void status(Consumer<ApiResponse> responder) {
      responder.accept(ApiResponse.operatorText("fine"));
    }

    @Override
    public void explainJob(String uid, Consumer<ApiResponse> responder) {
      responder.accept(ApiResponse.operatorText(uid + " waits"));
    }
  }

  private EventLoop loop;
  private XnioWorker worker;
  private UserApi userApi;
  private int port;
  private volatile boolean ready = true;

  @BeforeEach
  void open() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    loop = new EventLoop();
    loop.start();
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    userApi =
        new UserApi(
            loop,
            worker,
            new Address("127.0.0.1", port),
            new ConnectionLimits(24, 4, 10_000),
            new EchoHandler(),
            () -> ready);
    userApi.open();
  }

  @AfterEach
  void close() {
    userApi.close();
    loop.close();
    worker.shutdownNow();
  }

  private HttpURLConnection request(String method, String path, byte[] body) throws Exception {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
    connection.setRequestMethod(method);
    connection.setReadTimeout(20_000);
    if (body.length > 0) {
      connection.setDoOutput(true);
      connection.setFixedLengthStreamingMode(body.length);
      try (OutputStream out = connection.getOutputStream()) {
        out.write(body);
      }
    }
    return connection;
  }

  private int status(String method, String path) throws Exception {
    return request(method, path, new byte[0]).getResponseCode();
  }

  private String statusText(String path) throws Exception {
    try (InputStream in = request("GET", path, new byte[0]).getInputStream()) {
      return Cbor.readMap(in.readAllBytes()).orElseThrow().path("status").asText();
    }
  }

  @Test
  void requestsAreRoutedByPathAndMethod() throws Exception {
    assertEquals(200, status("GET", "/submissions/run-1"));
    assertEquals(200, status("GET", "/status"));
    assertEquals("fine", statusText("/status"));
    assertEquals("run-7 waits", statusText("/status?job=run-7"));
    assertEquals(404, status("GET", "/nothing"));
    assertEquals(404, status("GET", "/submissions/run-1/other"));
    assertEquals(405, status("DELETE", "/submissions/run-1"));
    assertEquals(405, status("GET", "/checkin"));
    HttpURLConnection submitted = request("POST", "/submissions", new byte[60_000]);
    assertEquals(201, submitted.getResponseCode());
    try (InputStream in = submitted.getInputStream()) {
      ObjectNode body = Cbor.readMap(in.readAllBytes()).orElseThrow();
      assertEquals(60_000, body.path("size").asInt());
    }
  }

  @Test
  void unavailableResponseHasRetryAfterHeader() throws Exception {
    HttpURLConnection response = request("POST", "/submissions/run-1/withdraw", new byte[] {1});
    assertEquals(503, response.getResponseCode());
    assertEquals("3", response.getHeaderField("Retry-After"));
    assertEquals(421, request("POST", "/checkin", new byte[] {1}).getResponseCode());
  }

  @Test
  void readyPathReportsReadiness() throws Exception {
    assertEquals(200, status("GET", "/ready"));
    ready = false;
    assertEquals(503, status("GET", "/ready"));
  }

  @Test
  void tooLargeBodyIsRefusedBeforeItIsRead() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(20_000);
      socket
          .getOutputStream()
          .write(
              "POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      byte[] head = new byte[12];
      assertEquals(12, socket.getInputStream().readNBytes(head, 0, 12));
      assertEquals("HTTP/1.1 413", new String(head, StandardCharsets.US_ASCII));
    }
  }

  @Test
  void partlySentRequestDoesNotDelayOthers() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket
          .getOutputStream()
          .write(
              "POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"
                  .getBytes(StandardCharsets.US_ASCII));
      for (int i = 0; i < 5; i++) {
        assertEquals(200, status("GET", "/submissions/run-1"));
      }
    }
    assertTrue(ready);
  }

  @Test
  void usersAreRefusedAndWorkersServedWhenFewConnectionsAreLeft() throws Exception {
    List<Socket> open = new ArrayList<>();
    try {
      // Each connection sends a request, so that it is known to be accepted.
      for (int i = 0; i < 20; i++) {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(5_000);
        open.add(socket);
        assertEquals(421, request(socket, "POST", "/checkin"), "connection " + i);
      }
      assertEquals(503, request(open.get(0), "GET", "/submissions/run-1"));
      assertEquals(
          -1,
          open.get(0).getInputStream().read(),
          "the server closes the connection of the refused user");
      open.get(0).close();
      assertEquals(421, request(open.get(1), "POST", "/checkin"));
      Socket next = new Socket("127.0.0.1", port);
      next.setSoTimeout(5_000);
      open.add(next);
      assertEquals(421, request(next, "POST", "/checkin"), "a worker can use the freed socket");
      open.remove(19).close();
      open.remove(18).close();
      // The server notices only later that these two connections are closed.
      int status = 503;
      for (int tries = 0; status == 503 && tries < 500; tries++) {
        try (Socket user = new Socket("127.0.0.1", port)) {
          user.setSoTimeout(5_000);
          status = request(user, "GET", "/submissions/run-1");
        }
        Thread.sleep(10);
      }
      assertEquals(200, status, "users are served again");
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  /** Sends a request on a connection that stays open, and returns the status of the response. */
  private static int request(Socket socket, String method, String path) throws IOException {
    String head = method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    InputStream in = socket.getInputStream();
    StringBuilder response = new StringBuilder();
    while (response.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed after partial response: " + response);
      }
      response.append((char) next);
    }
    Matcher length = Pattern.compile("(?i)content-length: (\\d+)").matcher(response);
    in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
    return Integer.parseInt(response.substring(9, 12));
  }
}
