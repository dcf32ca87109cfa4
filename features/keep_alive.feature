Feature: A short silence of a sound machine ends no connection, a lost machine does

  # Guards against a user timeout shorter than the probes, which ends connections at a silence of 1.2 s.
  Scenario Outline: A connection survives a silence of <silence_s> s, whenever it begins
    Given the socket options of connections to "<server>"
    When the other side is silent for <silence_s> seconds, beginning at any time after the last byte
    Then the connection survives each of these silences, also with sent bytes unacknowledged

    Examples:
      | server    | silence_s |
      | back ends | 0.5       |
      | back ends | 1.2       |
      | back ends | 2         |
      | relays    | 2         |
      | the store | 2         |

  Scenario Outline: A connection to a machine without power ends within 5 s
    Given the socket options of connections to "<server>"
    When the other side is silent for 60 seconds, beginning at any time after the last byte
    Then the connection ends within 5 seconds of the last byte or of the silence

    Examples:
      | server    |
      | back ends |
      | relays    |
      | the store |
