package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers, booleans and null. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(Object value) {
    return value == null ? Map.of() : (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator).append('"').append(entry.getKey()).append("\":");
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      String separator = "[";
      for (Object item : list) {
        out.append(separator);
        write(item, out);
        separator = ",";
      }
      out.append(list.isEmpty() ? "[]" : "]");
    } else if (value instanceof String s) {
      out.append('"');
      for (char c : s.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  private void skip() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      at++;
      Map<String, Object> map = new LinkedHashMap<>();
      for (skip(); text.charAt(at) != '}'; skip()) {
        String key = (String) value();
        skip();
        at++;
        map.put(key, value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      at++;
      List<Object> list = new ArrayList<>();
      for (skip(); text.charAt(at) != ']'; skip()) {
        list.add(value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.matches("-?\\d{1,18}") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      char c = text.charAt(at);
      if (c == '\\') {
        c = text.charAt(++at);
        switch (c) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'b' -> out.append('\b');
          case 'f' -> out.append('\f');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
            at += 4;
          }
          default -> out.append(c);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }
}
