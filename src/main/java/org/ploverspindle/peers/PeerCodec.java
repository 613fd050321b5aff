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
 * Records between controllers: a length, a version, a kind, and the fields. A record of another
 * version or kind is passed over, so that versions can be mixed while controllers are restarted one
 * after the other; a length that no record has ends the connection.
 */
public final class PeerCodec {
  public static final int MAX_LENGTH = 1024;
  private static final int FORMAT_VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 64;
  private static final int LEADING = 1;
  private static final int RESIGNED = 2;
  private static final int STATE_CHANGED = 3;
  private static final int MISDIRECTED_HEARTBEATS = 4;
  private static final int REACHABILITY_PROBE = 5;
  private static final int REACHABILITY_REPLY = 6;

  private PeerCodec() {}

  /** The bytes on a connection are not of this format. */
  public static final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
      super(message);
    }
  }

  /** The record as a frame: its length, then its body. */
  public static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    ByteArrayOutputStream framed = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    try {
      DataOutputStream out = new DataOutputStream(body);
      out.writeByte(FORMAT_VERSION);
      out.writeByte(kind(message));
      out.writeUTF(message.member());
      if (message instanceof PeerMessage.Leading leading) {
        out.writeLong(leading.token());
      } else if (message instanceof PeerMessage.Resigned resigned) {
        out.writeLong(resigned.token());
      } else if (message instanceof PeerMessage.MisdirectedHeartbeats misdirected) {
        out.writeInt(misdirected.count());
      }
      DataOutputStream frame = new DataOutputStream(framed);
      frame.writeInt(body.size());
      body.writeTo(frame);
    } catch (IOException exception) {
      throw new UncheckedIOException("memory could not be written", exception);
    }
    return framed.toByteArray();
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
    return message instanceof PeerMessage.Resigned ? RESIGNED : STATE_CHANGED;
  }

  /** The length of the next whole frame's body, or -1 while it is not all there. */
  static int wholeFrame(ByteBuffer received) throws MalformedFrameException {
    if (received.remaining() < Integer.BYTES) {
      return -1;
    }
    int length = received.getInt(received.position());
    if (length < 2 || length > MAX_LENGTH) {
      throw new MalformedFrameException("a record of " + length + " bytes");
    }
    return received.remaining() < Integer.BYTES + length ? -1 : length;
  }

  /** Takes a whole frame; empty for a version or kind that is not known here. */
  static Optional<PeerMessage> take(ByteBuffer received, int length)
      throws MalformedFrameException {
    received.getInt();
    byte[] body = new byte[length];
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
        default -> Optional.empty();
      };
    } catch (IOException exception) {
      throw new MalformedFrameException("a record that ends too early");
    }
  }
}
