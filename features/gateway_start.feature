Feature: A starting gateway lets callers wait for it instead of turning them away

  Scenario: It listens before any library is loaded
    Given a settings file with two free loopback addresses
    When the first listeners are opened in a process of their own
    Then that process has loaded no module outside the standard library and the adapter
    And a caller that connected meanwhile is connected

  Scenario: A signal that settings have changed does not end a process that is still starting
    Given a settings file with two free loopback addresses
    When the platform's program is started and told that its settings have changed as soon as it listens
    Then it ends for its incomplete settings, not for the signal

  Scenario Outline: Settings with <problem> open nothing, so that reading them again tells why
    Given a settings file with "<problem>" for its listeners
    When the first listeners are opened
    Then none was opened

    Examples:
      | problem                 |
      | no file                 |
      | no TOML                 |
      | no listen table         |
      | a listen that is a text |
      | an address without port |

  Scenario: The program serves on what listens already
    Given a settings file with two free loopback addresses
    When the first listeners are opened
    Then a program given them opens no other socket for these addresses

  Scenario Outline: A request before the first reading, which comes <read> s after the start
    Given the store can be reached <read> s after the start of a node
    When a request arrives <asked> s after the start
    Then it gets <status> after <least> to <most> s

    Examples:
      | read | asked | status | least | most |
      | 0.3  | 0.1   | 200    | 0.1   | 0.8  |
      | 0.3  | 2.0   | 200    | 0.0   | 0.1  |
      | 9.0  | 0.1   | 503    | 0.85  | 0.95 |
      | 9.0  | 0.8   | 503    | 0.15  | 0.25 |
      | 9.0  | 2.0   | 503    | 0.0   | 0.01 |

  Scenario: A caller with little time waits for half of it at most
    Given the store can be reached 9.0 s after the start of a node
    When a request of 0.4 s arrives 0.1 s after the start
    Then it gets 503 after 0.19 to 0.21 s
