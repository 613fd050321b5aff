package org.ploverspindle.peers;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Encodes and decodes messages between controllers. A frame is the length of its body in bytes,
 * followed by the body: a format version, the kind of the message, and its fields. A body of
 * another format version or an unknown kind is skipped, so that controllers of different versions
 * can run together while they are upgraded one after the other. A malformed frame ends the
 * connection, since the bytes after it can't be split into frames reliably.
 */
public final class PeerCodec {
  /** The longest body of a frame, in bytes. */
  public static final int MAX_BODY_BYTES = 1024;

  /** The shortest body of a frame, in bytes: a format version and a kind. */
  private static final int MIN_BODY_BYTES = 2;

  /** The result of {@link #nextBodyLength} while the next frame is incomplete. */
  private static final int INCOMPLETE = -1;

  private static final int FORMAT_VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 64;

  /** The kinds of messages on the wire. The number of a kind is never changed or reused. */
  private static final int LEADING = 1;

  private static final int RESIGNED = 2;
  private static final int STATE_CHANGED = 3;
  private static final int MISDIRECTED_HEARTBEATS = 4;
  private static final int REACHABILITY_PROBE = 5;
  private static final int REACHABILITY_REPLY = 6;
  private static final int HEARTBEAT = 7;

  private PeerCodec() {}

  /** Signals that the bytes on a connection are not frames of this format. */
  public static final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
      super(message);
    }
  }

  /** Encodes a message as a frame. */
  public static byte[] encode(PeerMessage message) {
    try {
      ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
      writeBody(message, new DataOutputStream(body));
      ByteArrayOutputStream frame = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
      new DataOutputStream(frame).writeInt(body.size());
      body.writeTo(frame);
      return frame.toByteArray();
    } catch (IOException exception) {
      throw new UncheckedIOException("peer message could not be encoded", exception);
    }
  }

  private static void writeBody(PeerMessage message, DataOutputStream out) throws IOException {
    out.writeByte(FORMAT_VERSION);
    out.writeByte(kind(message));
    out.writeUTF(message.controllerName());
    if (message instanceof PeerMessage.Leading leading) {
      out.writeLong(leading.token());
    } else if (message instanceof PeerMessage.Resigned resigned) {
      out.writeLong(resigned.token());
    } else if (message instanceof PeerMessage.MisdirectedHeartbeats misdirected) {
      out.writeInt(misdirected.count());
    } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
      out.writeBoolean(heartbeat.readsState());
    }
  }

  private static int kind(PeerMessage message) {
    if (message instanceof PeerMessage.Leading) {
      return LEADING;
    }
    if (message instanceof PeerMessage.MisdirectedHeartbeats) {
      return MISDIRECTED_HEARTBEATS;
    }
    if (message instanceof PeerMessage.ReachabilityProbe) {
      return REACHABILITY_PROBE;
    }
    if (message instanceof PeerMessage.ReachabilityReply) {
      return REACHABILITY_REPLY;
    }
    if (message instanceof PeerMessage.Heartbeat) {
      return HEARTBEAT;
    }
    return message instanceof PeerMessage.Resigned ? RESIGNED : STATE_CHANGED;
  }

  /**
   * Returns the length of the next frame's body in bytes, or -1 while the frame is incomplete.
   * Leaves the buffer unchanged.
   *
   * @throws MalformedFrameException if the length is outside the limits of a body
   */
  static int nextBodyLength(ByteBuffer received) throws MalformedFrameException {
    if (received.remaining() < Integer.BYTES) {
      return INCOMPLETE;
    }
    int bodyLength = received.getInt(received.position());
    if (bodyLength < MIN_BODY_BYTES || bodyLength > MAX_BODY_BYTES) {
      throw new MalformedFrameException(
          "peer frame body must have "
              + MIN_BODY_BYTES
              + " to "
              + MAX_BODY_BYTES
              + " bytes, got "
              + bodyLength
              + " bytes");
    }
    return received.remaining() < Integer.BYTES + bodyLength ? INCOMPLETE : bodyLength;
  }

  /**
   * Removes the next frame from the buffer and decodes it. The result is empty for an unknown
   * format version or kind.
   *
   * @param bodyLength the length of the body in bytes, as {@link #nextBodyLength} returned it
   * @throws MalformedFrameException if the body is shorter than its fields, or a text in it is not
   *     validly encoded
   */
  static Optional<PeerMessage> decodeNext(ByteBuffer received, int bodyLength)
      throws MalformedFrameException {
    received.getInt();
    byte[] body = new byte[bodyLength];
    received.get(body);
    try {
      DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
      if (in.readUnsignedByte() != FORMAT_VERSION) {
        return Optional.empty();
      }
      int kind = in.readUnsignedByte();
      return switch (kind) {
        case LEADING -> Optional.of(new PeerMessage.Leading(in.readUTF(), in.readLong()));
        case RESIGNED -> Optional.of(new PeerMessage.Resigned(in.readUTF(), in.readLong()));
        case STATE_CHANGED -> Optional.of(new PeerMessage.StateChanged(in.readUTF()));
        case MISDIRECTED_HEARTBEATS ->
            Optional.of(new PeerMessage.MisdirectedHeartbeats(in.readUTF(), in.readInt()));
        case REACHABILITY_PROBE -> Optional.of(new PeerMessage.ReachabilityProbe(in.readUTF()));
        case REACHABILITY_REPLY -> Optional.of(new PeerMessage.ReachabilityReply(in.readUTF()));
        case HEARTBEAT -> Optional.of(new PeerMessage.Heartbeat(in.readUTF(), in.readBoolean()));
        default -> Optional.empty();
      };
    } catch (IOException exception) {
      throw new MalformedFrameException(
          "peer message body is truncated or has an invalid text field");
    }
  }
}
