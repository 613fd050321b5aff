package org.ploverspindle.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ploverspindle.eventloop.EventLoop;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Calls over real sockets on loopback. Each test chooses how the target responds. Guards against
 * calls without an outcome, requests that are reported as not sent although they may have been
 * executed, the reuse of closed connections, and an unbounded queue.
 */
class UndertowHttpClientTest {
  private static final long LONG_TIMEOUT_MS = 20_000;
  private static final long SHORT_TIMEOUT_MS = 200;
  private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final String OK_RESPONSE_THEN_CLOSE =
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";

  /** A target with this text as its response closes the connection once a request has arrived. */
  private static final String CLOSED_WITHOUT_RESPONSE = "close";

  /** A target that sends the same text in response to each request, or nothing if it is empty. */
  private final class Target implements AutoCloseable {
    final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final List<Socket> accepted = new CopyOnWriteArrayList<>();
    final List<byte[]> bodies = new CopyOnWriteArrayList<>();
    private final String response;

    Target(String response) throws IOException {
      this.response = response;
      startDaemon(this::accept);
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = serverSocket.accept();
          accepted.add(socket);
          startDaemon(() -> serve(socket));
        }
      } catch (IOException e) {
        // The listening socket was closed at the end of the test.
      }
    }

    private void serve(Socket socket) {
      // The socket is closed when the client closes its side, as HTTP servers do.
      try (socket) {
        while (true) {
          bodies.add(readBody(socket.getInputStream()));
          if (response.equals(CLOSED_WITHOUT_RESPONSE)) {
            return;
          }
          socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        }
      } catch (IOException e) {
        // The client closed the connection, or it was closed at the end of the test.
      }
    }

    private static byte[] readBody(InputStream in) throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("end of the connection");
        }
        head.write(next);
      }
      for (String line : head.toString(StandardCharsets.US_ASCII).split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length: ")) {
          return in.readNBytes(Integer.parseInt(line.substring("content-length: ".length())));
        }
      }
      return new byte[0];
    }

    @Override
    public void close() throws IOException {
      serverSocket.close();
      for (Socket socket : accepted) {
        socket.close();
      }
    }
  }

  private EventLoop eventLoop;
  private XnioWorker worker;

  @BeforeEach
  void open() throws IOException {
    eventLoop = new EventLoop();
    eventLoop.start();
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
  }

  @AfterEach
  void close() {
    eventLoop.close();
    worker.shutdownNow();
  }

  private static void startDaemon(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private HttpClient client(Target target, int connections) {
    return client("127.0.0.1:" + target.serverSocket.getLocalPort(), connections);
  }

  private HttpClient client(String address, int connections) {
    return UndertowHttpClient.persistent(
        eventLoop,
        worker.getIoThread(),
        new DefaultByteBufferPool(true, 4_096),
        address,
        connections);
  }

  private static CompletableFuture<HttpResult> send(
      HttpClient client, byte[] body, long timeoutMs) {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    client.send("POST", "/path", body, timeoutMs, result::complete);
    return result;
  }

  private static HttpResult outcome(CompletableFuture<HttpResult> call) throws Exception {
    return call.get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static void assertOk(HttpResult result) {
    HttpResult.Response response = assertInstanceOf(HttpResult.Response.class, result);
    assertEquals(200, response.status());
    assertEquals("ok", new String(response.body(), StandardCharsets.US_ASCII));
  }

  @Test
  void callsShareOnePersistentConnectionAndLargeBodiesArriveWhole() throws Exception {
    byte[] large = new byte[3_000_000];
    large[2_999_999] = 7;
    try (Target target = new Target(OK_RESPONSE)) {
      HttpClient client = client(target, 1);
      assertOk(outcome(send(client, new byte[0], LONG_TIMEOUT_MS)));
      List<CompletableFuture<HttpResult>> calls =
          List.of(
              send(client, large, LONG_TIMEOUT_MS), send(client, new byte[] {1}, LONG_TIMEOUT_MS));
      for (CompletableFuture<HttpResult> call : calls) {
        assertOk(outcome(call));
      }
      assertEquals(1, target.accepted.size());
      assertEquals(0, target.bodies.get(0).length);
      assertArrayEquals(large, target.bodies.get(1));
    }
  }

  @Test
  void connectionClosedByTheTargetIsNotReused() throws Exception {
    try (Target target = new Target(OK_RESPONSE_THEN_CLOSE)) {
      HttpClient client = client(target, 1);
      assertOk(outcome(send(client, new byte[0], LONG_TIMEOUT_MS)));
      assertOk(outcome(send(client, new byte[0], LONG_TIMEOUT_MS)));
      assertEquals(2, target.accepted.size());
    }
  }

  @Test
  void callThatTimesOutWaitingForAConnectionIsReportedAsNotSent() throws Exception {
    try (Target silent = new Target("")) {
      HttpClient client = client(silent, 1);
      CompletableFuture<HttpResult> sent = send(client, new byte[0], LONG_TIMEOUT_MS);
      CompletableFuture<HttpResult> waiting = send(client, new byte[0], SHORT_TIMEOUT_MS);
      assertEquals(new HttpResult.NotSent("timeout"), outcome(waiting));
      assertFalse(sent.isDone());
    }
  }

  @Test
  void connectionClosedBeforeTheResponseIsReportedAsNoResponse() throws Exception {
    try (Target target = new Target(CLOSED_WITHOUT_RESPONSE)) {
      HttpResult result = outcome(send(client(target, 1), new byte[0], LONG_TIMEOUT_MS));
      assertInstanceOf(HttpResult.NoResponse.class, result);
      assertEquals(1, target.bodies.size());
    }
  }

  @Test
  void refusedConnectionIsReportedAsNotSent() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    HttpClient client = client("127.0.0.1:" + port, 1);
    for (int i = 0; i < 3; i++) {
      HttpResult result = outcome(send(client, new byte[0], LONG_TIMEOUT_MS));
      assertInstanceOf(HttpResult.NotSent.class, result);
    }
  }

  @Test
  void callBeyondTheQueueLimitIsNotSent() throws Exception {
    try (Target silent = new Target("")) {
      HttpClient client = client(silent, 1);
      for (int i = 0; i < 201; i++) {
        send(client, new byte[0], LONG_TIMEOUT_MS);
      }
      HttpResult.NotSent refused =
          assertInstanceOf(
              HttpResult.NotSent.class, outcome(send(client, new byte[0], LONG_TIMEOUT_MS)));
      assertTrue(
          refused.reason().startsWith("queue is full, 200 calls wait for a connection to http://"));
    }
  }
}
