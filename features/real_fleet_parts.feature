Feature: Runs against real processes: places, timelines and what is read from logs

  Scenario Outline: Every process of a deployment gets ports of its own
    When real processes of "<deployment>" are laid out with <per_zone> nodes a zone
    Then the layout has <nodes> nodes, <engines> engines and <services> service back ends
    And no port is given twice
    And the laid out deployment passes the checks of deployment files
    And its settings files are what nodes and stand-ins take

    Examples:
      | deployment | per_zone | nodes | engines | services |
      | tsehay     | 2        | 6     | 6       | 3        |
      | startgrid  | 2        | 8     | 9       | 4        |
      | startgrid  | 1        | 4     | 9       | 4        |

  Scenario Outline: A failure named on the command line replaces the timeline
    When the real run "tsehay" is narrowed to "<fault>"
    Then its timeline is "<timeline>" and callers send for <duration> s

    Examples:
      | fault         | timeline            | duration |
      | none          | none                | 15       |
      | node_kill     | node_kill at 4 for 5 | 18      |
      | node_pause:20 | node_pause at 4 for 20 | 33    |

  Scenario: A failure that does not exist is not run
    Then the real run "tsehay" cannot be narrowed to "node_kil"

  Scenario Outline: A wrong file names what is wrong and the remedy
    When a real run file has "<field>" set to "<value>"
    Then the real run file is refused with "<words>"

    Examples:
      | field      | value         | words                 |
      | format     | 2             | format 2 is not known |
      | deployment | nowhere.yaml  | correct `deployment:` |
      | faults     | {kind: flood} | faults                |
      | typo       | 1             | typo                  |

  Scenario Outline: The answer of apply is read from its output
    When apply ends with <code> and prints "<output>"
    Then the apply result has revision "<revision>" and was in place "<in_place>"

    Examples:
      | code | output                                          | revision | in_place |
      | 0    | accepted: revision 12; `weirscale status` tells | 12       | no       |
      | 0    | was in place already: revision 7; `weirscale`   | 7        | yes      |
      | 4    | refused: changed since; run plan                | none     | no       |
      | 5    | unknown: the answer was lost; run it again      | none     | no       |

  Scenario: A node's log tells which revisions it put in force, on the records' clock
    When the log of node "n1" has these lines with a clock offset of 1000 s
      | line                                                                                  |
      | time=1970-01-01T00:20:00.250Z event=configuration_in_force node=n1 zone=z revision=3  |
      | time=1970-01-01T00:20:01.000Z event=drain_began node=n1 zone=z running=3              |
      | time=1970-01-01T00:20:02.500Z event=configuration_in_force node=n1 zone=z revision=12 source=peer |
      | event=configuration_in_force revision=99                                              |
    Then the revisions taken are "3 at 200.25, 12 at 202.5"

  Scenario: Traces in a node's log count as internal errors, once each
    When a node's log has the traces "plain, grouped, none"
    Then the internal errors are "ValueError: bad number; TypeError: Missing required argument"

  Scenario: A pause strikes a node that holds a lease
    When the store answers with these keys
      | value           | lease |
      | plan of n1      | 77    |
      | notes of n2     | 0     |
      | nothing of note | 78    |
    Then of the nodes "n1, n2, n3" the lease holders are "n1"
