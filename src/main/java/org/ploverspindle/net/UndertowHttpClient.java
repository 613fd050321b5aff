package org.ploverspindle.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.eventloop.Scheduler;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * An HTTP client for one target, on Undertow's client. Adds what that leaves to its users: a
 * bounded pool of kept-alive connections, a bounded queue of waiting calls, and a time limit for a
 * call as a whole. All state is confined to one I/O thread.
 */
public final class UndertowHttpClient implements HttpClient {
  private static final int MAX_QUEUED = 200;

  /** Larger responses count as failed, so that a broken target can't fill the heap. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  private static final int READ_CHUNK_BYTES = 4_096;

  private final Scheduler scheduler;
  private final XnioIoThread io;
  private final ByteBufferPool buffers;
  private final URI target;
  private final int maxConnections;
  private final boolean keep;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();
  private final Deque<Call> queue = new ArrayDeque<>();
  private int open;

  public UndertowHttpClient(
      Scheduler scheduler,
      XnioIoThread io,
      ByteBufferPool buffers,
      String address,
      int maxConnections) {
    this(scheduler, io, buffers, address, maxConnections, true);
  }

  private UndertowHttpClient(
      Scheduler scheduler,
      XnioIoThread io,
      ByteBufferPool buffers,
      String address,
      int maxConnections,
      boolean keep) {
    this.scheduler = scheduler;
    this.io = io;
    this.buffers = buffers;
    this.target = URI.create("http://" + address);
    this.maxConnections = maxConnections;
    this.keep = keep;
  }

  /**
   * A client for a single call: its connection is closed afterwards. For targets of which there are
   * many.
   */
  public static UndertowHttpClient once(
      Scheduler scheduler, XnioIoThread io, ByteBufferPool buffers, String address) {
    return new UndertowHttpClient(scheduler, io, buffers, address, 1, false);
  }

  @Override
  public void send(
      String method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> then) {
    io.execute(() -> new Call(method, path, body, then).submit(timeoutMs));
  }

  private void pump() {
    while (!queue.isEmpty()) {
      ClientConnection kept = idle.pollLast();
      if (kept != null) {
        if (kept.isOpen()) {
          queue.poll().send(kept);
        }
        continue;
      }
      if (open >= maxConnections) {
        return;
      }
      queue.poll().connect();
    }
  }

  private final class Call implements ClientCallback<ClientConnection> {
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<HttpResult> then;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream(256);
    private XnioExecutor.Key timer;
    private ClientConnection connection;
    private boolean finished;
    private boolean sent;
    private boolean counted;

    Call(String method, String path, byte[] body, Consumer<HttpResult> then) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.then = then;
    }

    void submit(long timeoutMs) {
      if (queue.size() >= MAX_QUEUED) {
        finish(new HttpResult.NotSent("too many calls wait for " + target));
        return;
      }
      timer =
          io.executeAfter(
              () -> fail("timeout"), timeoutMs, java.util.concurrent.TimeUnit.MILLISECONDS);
      queue.add(this);
      pump();
    }

    void connect() {
      open++;
      counted = true;
      UndertowClient.getInstance().connect(this, target, io, buffers, OptionMap.EMPTY);
    }

    @Override
    public void completed(ClientConnection fresh) {
      fresh
          .getCloseSetter()
          .set(
              c -> {
                open--;
                idle.remove(fresh);
                pump();
              });
      if (finished) {
        // The call was given up while connecting; the connection is still good for others.
        if (keep) {
          idle.add(fresh);
          pump();
        } else {
          IoUtils.safeClose(fresh);
        }
        return;
      }
      send(fresh);
    }

    @Override
    public void failed(IOException e) {
      if (connection == null && counted) {
        open--;
        counted = false;
      }
      fail("failed: " + e.getMessage());
    }

    void send(ClientConnection on) {
      connection = on;
      sent = true;
      ClientRequest request =
          new ClientRequest()
              .setMethod(new HttpString(method))
              .setPath(path)
              .setProtocol(Protocols.HTTP_1_1);
      request.getRequestHeaders().put(Headers.HOST, target.getAuthority());
      if (body.length > 0) {
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
      }
      on.sendRequest(
          request,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
              started(exchange);
            }

            @Override
            public void failed(IOException e) {
              fail("failed: " + e.getMessage());
            }
          });
    }

    private void started(ClientExchange exchange) {
      exchange.setResponseListener(
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
              StreamSourceChannel channel = result.getResponseChannel();
              channel.getReadSetter().set(c -> read(result, c));
              read(result, channel);
            }

            @Override
            public void failed(IOException e) {
              fail("failed: " + e.getMessage());
            }
          });
      if (body.length > 0) {
        StreamSinkChannel sink = exchange.getRequestChannel();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        sink.getWriteSetter().set(c -> write(c, buffer));
        write(sink, buffer);
      }
    }

    private void write(StreamSinkChannel sink, ByteBuffer buffer) {
      try {
        while (buffer.hasRemaining()) {
          if (sink.write(buffer) == 0) {
            sink.resumeWrites();
            return;
          }
        }
        sink.shutdownWrites();
        if (!sink.flush()) {
          sink.getWriteSetter()
              .set(ChannelListeners.flushingChannelListener(null, (c, e) -> fail("failed: " + e)));
          sink.resumeWrites();
        }
      } catch (IOException e) {
        fail("failed: " + e.getMessage());
      }
    }

    private void read(ClientExchange exchange, StreamSourceChannel channel) {
      if (finished) {
        return;
      }
      ByteBuffer chunk = ByteBuffer.allocate(READ_CHUNK_BYTES);
      try {
        while (true) {
          chunk.clear();
          int n = channel.read(chunk);
          if (n == 0) {
            channel.resumeReads();
            return;
          }
          if (n < 0) {
            break;
          }
          received.write(chunk.array(), 0, n);
          if (received.size() > MAX_BODY_BYTES) {
            end(new HttpResult.TooLarge(MAX_BODY_BYTES));
            return;
          }
        }
      } catch (IOException e) {
        fail("failed: " + e.getMessage());
        return;
      }
      deliver(exchange);
    }

    private void deliver(ClientExchange exchange) {
      int status = exchange.getResponse().getResponseCode();
      boolean close =
          "close"
              .equalsIgnoreCase(
                  exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
      ClientConnection done = connection;
      finish(new HttpResult.Response(status, received.toByteArray()));
      if (close || !keep) {
        IoUtils.safeClose(done);
      } else {
        // On the next turn: the exchange ends only after this listener returned.
        io.execute(
            () -> {
              if (done.isOpen()) {
                idle.add(done);
              }
              pump();
            });
      }
    }

    private void fail(String reason) {
      if (finished) {
        return;
      }
      queue.remove(this);
      end(sent ? new HttpResult.NoResponse(reason) : new HttpResult.NotSent(reason));
    }

    /** Ends a call whose connection is of no use any more. */
    private void end(HttpResult reply) {
      finish(reply);
      if (connection != null) {
        IoUtils.safeClose(connection);
      }
      pump();
    }

    private void finish(HttpResult reply) {
      if (finished) {
        return;
      }
      finished = true;
      if (timer != null) {
        timer.remove();
      }
      scheduler.execute(EventPriority.DECISION, () -> then.accept(reply));
    }
  }
}
