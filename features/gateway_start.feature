Feature: A starting gateway accepts connections at once and lets callers wait for its first state
  Callers of a restarting node would be refused while it loads its libraries and reads the store. It
  therefore listens first, and holds requests for a bounded time until the state has been read.

  Scenario: The listeners are opened before any library is loaded
    Given a settings file with two free loopback addresses
    When the first listeners are opened in a process of their own
    Then that process has loaded no module outside the standard library and the adapter
    And callers can connect to both listeners meanwhile

  Scenario: SIGHUP does not end a process that is still starting
    Given a settings file with two free loopback addresses
    When the platform's program is started and receives SIGHUP as soon as it listens
    Then the program exits because of its incomplete settings, not because of the signal

  Scenario Outline: Settings with <problem> open no listener; the later reading of them reports the error
    Given a settings file with "<problem>" for its listeners
    When the first listeners are opened
    Then no listener was opened

    Examples:
      | problem                 |
      | no file                 |
      | no TOML                 |
      | no listen table         |
      | listen as a string      |
      | an address without port |

  Scenario: The program serves on the listeners that are already open
    Given a settings file with two free loopback addresses
    When the first listeners are opened
    Then a program with these listeners opens no other socket for their addresses

  Scenario Outline: A request arrives <arrival> s after the start, and the store is reachable after <reachable> s
    Given the store is reachable <reachable> s after the start of a node
    When a request arrives <arrival> s after the start
    Then the request gets <status> after <least> to <most> s

    Examples:
      | reachable | arrival | status | least | most |
      | 0.3       | 0.1     | 200    | 0.1   | 0.8  |
      | 0.3       | 2.0     | 200    | 0.0   | 0.1  |
      | 9.0       | 0.1     | 503    | 0.85  | 0.95 |
      | 9.0       | 0.8     | 503    | 0.15  | 0.25 |
      | 9.0       | 2.0     | 503    | 0.0   | 0.01 |

  Scenario: A request waits for at most half of its deadline
    Given the store is reachable 9.0 s after the start of a node
    When a request with a deadline of 0.4 s arrives 0.1 s after the start
    Then the request gets 503 after 0.19 to 0.21 s
