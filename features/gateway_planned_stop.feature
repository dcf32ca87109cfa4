Feature: A node that is stopped as planned ends each request that it has sent, and sends none that it could not end

  # Guards against requests that come late in the time for a stop, are sent, and are cut off without an answer
  # as the process ends, among them requests that may not run twice (LOST).
  Scenario: A request whose body is complete late in a planned stop needs longer than what is left of it
    Given a node on real sockets with 4 s for its stop, before a back end that needs 2 s
    When it is stopped, and a request whose body was slow is complete 2.6 s later with a deadline of 5 s
    Then it is refused with 503 as not run, and no back end has received it
    And the request that was sent before the stop is answered whole

  Scenario Outline: A request <arrives> late in a planned stop is not read
    Given a node on real sockets with 4 s for its stop, before a back end that needs 2 s
    When it is stopped, and a request <arrives> 2.6 s later with a deadline of 5 s
    Then it gets no answer, and no back end has received it
    And the request that was sent before the stop is answered whole

    Examples:
      | arrives                         |
      | whose head was slow is complete |
      | follows another one over HTTP/2 |

  # Its deadline runs from the arrival of its head, 0.2 s before the stop.
  Scenario: A request whose body is complete late in a planned stop ends before it
    Given a node on real sockets with 4 s for its stop, before a back end that needs 0.05 s
    When it is stopped, and a request whose body was slow is complete 2.6 s later with a deadline of 3.2 s
    Then it is answered whole

  # Guards against streams that are cut, or a process that is killed, because the time for a stop that the settings
  # named at the start of the process was kept, and not the one that they name as the stop begins (LOST).
  Scenario Outline: The time for a stop is the one that the settings name as it begins: <started> s, then <named> s
    Given a node on real sockets with <started> s for its stop, before a back end that needs 3.5 s
    When its settings name <named> s, and it is stopped
    Then the request that was sent before the stop is answered whole: <whole>
    And the process has ended within <most> s

    Examples:
      | started | named | whole | most |
      | 4       | 6     | yes   | 5.5  |
      | 6       | 4     | no    | 4    |

  Scenario Outline: Which requests a node that is being stopped may begin
    Given a stop that begins at 100 s, late from 102.3 s and ends at 107.2 s
    Then a request that arrives at <arrives> s with a deadline of <deadline> s may begin: <answer>

    Examples:
      | arrives | deadline | answer |
      | 99      | 120      | yes    |
      | 101     | 120      | yes    |
      | 102.2   | 110      | yes    |
      | 102.4   | 107.3    | no     |
      | 102.4   | 107.2    | no     |
      | 102.4   | 107      | yes    |
      | 106     | 107      | yes    |
      | 107     | 108      | no     |

  Scenario: A node that is not being stopped begins every request
    Given no stop
    Then a request that arrives at 1000 s with a deadline of 5000 s may begin: yes
