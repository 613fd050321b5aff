import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small CBOR codec for maps, lists, texts, numbers, booleans and null, and the JSON size of a value. */
final class Cb {
  private Cb() {}

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static byte[] write(Object value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    write(value, out);
    return out.toByteArray();
  }

  private static void head(int major, long n, ByteArrayOutputStream out) {
    int m = major << 5;
    if (n < 24) {
      out.write(m | (int) n);
    } else if (n < 1 << 8) {
      out.write(m | 24);
      out.write((int) n);
    } else if (n < 1 << 16) {
      out.write(m | 25);
      out.write((int) (n >> 8));
      out.write((int) n);
    } else if (n < 1L << 32) {
      out.write(m | 26);
      out.writeBytes(ByteBuffer.allocate(4).putInt((int) n).array());
    } else {
      out.write(m | 27);
      out.writeBytes(ByteBuffer.allocate(8).putLong(n).array());
    }
  }

  private static void write(Object value, ByteArrayOutputStream out) {
    if (value == null) {
      out.write(0xF6);
    } else if (value instanceof Boolean b) {
      out.write(b ? 0xF5 : 0xF4);
    } else if (value instanceof Double d) {
      out.write(0xFB);
      out.writeBytes(ByteBuffer.allocate(8).putDouble(d).array());
    } else if (value instanceof Number n) {
      long l = n.longValue();
      head(l < 0 ? 1 : 0, l < 0 ? -1 - l : l, out);
    } else if (value instanceof String s) {
      byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
      head(3, bytes.length, out);
      out.writeBytes(bytes);
    } else if (value instanceof List<?> list) {
      head(4, list.size(), out);
      list.forEach(item -> write(item, out));
    } else if (value instanceof Map<?, ?> map) {
      head(5, map.size(), out);
      map.forEach(
          (k, v) -> {
            write(k, out);
            write(v, out);
          });
    } else {
      throw new IllegalArgumentException("no CBOR form: " + value.getClass());
    }
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> readMap(byte[] bytes) {
    return (Map<String, Object>) read(ByteBuffer.wrap(bytes));
  }

  static final Object BREAK = new Object();

  private static Object read(ByteBuffer in) {
    int first = in.get() & 0xFF;
    int major = first >> 5;
    int info = first & 31;
    if (major == 7) {
      return switch (info) {
        case 20 -> false;
        case 21 -> true;
        case 22, 23 -> null;
        case 25 -> half(in.getShort());
        case 26 -> (double) in.getFloat();
        case 27 -> in.getDouble();
        case 31 -> BREAK;
        default -> throw new IllegalArgumentException("simple " + info);
      };
    }
    long n =
        info < 24
            ? info
            : switch (info) {
              case 24 -> in.get() & 0xFF;
              case 25 -> in.getShort() & 0xFFFF;
              case 26 -> in.getInt() & 0xFFFFFFFFL;
              case 27 -> in.getLong();
              default -> -1;
            };
    switch (major) {
      case 0:
        return n;
      case 1:
        return -1 - n;
      case 2, 3:
        {
          if (n < 0) {
            StringBuilder text = new StringBuilder();
            for (Object part = read(in); part != BREAK; part = read(in)) {
              text.append(part);
            }
            return text.toString();
          }
          byte[] bytes = new byte[(int) n];
          in.get(bytes);
          return new String(bytes, StandardCharsets.UTF_8);
        }
      case 4:
        {
          List<Object> list = new ArrayList<>();
          for (long i = 0; n < 0 || i < n; i++) {
            Object item = read(in);
            if (item == BREAK) {
              break;
            }
            list.add(item);
          }
          return list;
        }
      case 5:
        {
          Map<String, Object> map = new LinkedHashMap<>();
          for (long i = 0; n < 0 || i < n; i++) {
            Object key = read(in);
            if (key == BREAK) {
              break;
            }
            map.put((String) key, read(in));
          }
          return map;
        }
      default:
        return read(in);
    }
  }

  private static double half(short bits) {
    int exp = (bits >> 10) & 31;
    int mant = bits & 1023;
    double v =
        exp == 0
            ? mant * Math.pow(2, -24)
            : exp == 31 ? (mant == 0 ? Double.POSITIVE_INFINITY : Double.NaN) : (1024 + mant) * Math.pow(2, exp - 25);
    return bits < 0 ? -v : v;
  }

  /** The size of the value's JSON form in bytes. */
  static int jsonSize(Object value) {
    if (value instanceof String s) {
      return s.getBytes(StandardCharsets.UTF_8).length + 2;
    }
    if (value instanceof List<?> list) {
      int size = 2 + Math.max(0, list.size() - 1);
      for (Object item : list) {
        size += jsonSize(item);
      }
      return size;
    }
    if (value instanceof Map<?, ?> map) {
      int size = 2 + Math.max(0, map.size() - 1);
      for (Map.Entry<?, ?> e : map.entrySet()) {
        size += jsonSize(e.getKey()) + 1 + jsonSize(e.getValue());
      }
      return size;
    }
    return String.valueOf(value).length();
  }

  static String text(Map<String, Object> map, String field) {
    Object v = map.get(field);
    return v instanceof String s ? s : "";
  }

  static long num(Map<String, Object> map, String field) {
    Object v = map.get(field);
    return v instanceof Number n ? n.longValue() : 0;
  }

  static double dbl(Map<String, Object> map, String field) {
    Object v = map.get(field);
    return v instanceof Number n ? n.doubleValue() : 0;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Map<String, Object> map, String field) {
    Object v = map.get(field);
    return v instanceof List<?> l ? (List<Object>) l : List.of();
  }
}
