package io.fireflyshed.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link SettingValues}. */
public class SettingValuesTest {

  private static final Setting<Integer> COUNT =
      Setting.of("count", "1 to 9", "3", "a count", SettingParsers.newIntegerParser(1, 9));
  private static final Setting<Boolean> ONCE = Setting.ofFlag("once", "a flag");
  private static final Setting<String> KEY =
      new Setting<>(
          "key", "a key", null, "a key", true, SettingArity.MANY, SettingValuesTest::parseKey);

  private static String parseKey(String text) {
    if (text.isEmpty()) {
      throw new IllegalArgumentException("empty");
    }
    return text;
  }

  private static SettingValues parse(Map<String, String> environment, String... arguments) {
    return SettingValues.parse(List.of(COUNT, ONCE, KEY), List.of(arguments), environment);
  }

  @Test
  public void flagTakesPrecedenceOverVariableAndDefault() {
    Map<String, String> environment = Map.of("FIREFLYSHED_COUNT", "4");
    assertEquals(parse(Map.of()).get(COUNT), Integer.valueOf(3));
    assertEquals(parse(environment).get(COUNT), Integer.valueOf(4));
    assertEquals(parse(environment, "--count", "5").get(COUNT), Integer.valueOf(5));
    assertTrue(parse(environment, "--once").get(ONCE));
  }

  @Test
  public void messageNamesTheSettingTheValueAndTheAllowedValues() {
    SettingException e =
        expectThrows(SettingException.class, () -> parse(Map.of(), "--count", "10"));
    assertEquals(e.getMessage(), "--count: invalid value \"10\"; expected 1 to 9");
  }

  @Test
  public void refusesUnknownFlagsMissingValuesAndRepeats() {
    assertThrows(SettingException.class, () -> parse(Map.of(), "--other"));
    assertThrows(SettingException.class, () -> parse(Map.of(), "--count"));
    assertThrows(SettingException.class, () -> parse(Map.of(), "word"));
    assertThrows(SettingException.class, () -> parse(Map.of(), "--count", "1", "--count", "2"));
  }

  @Test
  public void masksSecrets() {
    SettingValues values = parse(Map.of("FIREFLYSHED_KEY", "abc,def"));
    assertEquals(values.getAll(KEY), List.of("abc", "def"));
    assertTrue(values.toLines().contains("key=********"));
    SettingException e = expectThrows(SettingException.class, () -> parse(Map.of(), "--key", ""));
    assertEquals(e.getMessage(), "--key: invalid value \"********\"; expected a key");
  }
}
