Feature: Data that leaves a node keeps its form
  Nodes of two releases run side by side during a rolling restart, the store contains records of
  older releases, and operators search logs and metrics by name. The recorded forms are not changed
  to follow the code: a different form breaks compatibility.

  Scenario Outline: A message between nodes has exactly the recorded bytes and is read back
    Given the recorded forms of "messages"
    When the message "<message>" is encoded
    Then its bytes are the recorded ones
    And a node that receives the recorded bytes reads the same message

    Examples:
      | message               |
      | news_empty            |
      | news_full             |
      | news_of_group         |
      | query                 |
      | reply_empty           |
      | reply_configuration   |
      | reply_back_ends       |
      | reply_other_changes   |
      | ages_query            |
      | ages_reply            |
      | ages_reply_silent     |
      | permit_query          |
      | permit_reply          |
      | permit_reply_none     |
      | stream_began          |
      | origin_query          |
      | origin_reply          |
      | origin_reply_unknown  |
      | origin_reply_conflict |

  Scenario Outline: A message of an earlier release is read
    Given the recorded forms of "messages"
    When a node receives the recorded "<message>" of an earlier release
    Then the node reads the content that the earlier release sent

    Examples:
      | message                      |
      | news_empty_before_leaving    |
      | news_full_before_leaving     |
      | news_of_group_before_leaving |
      | news_empty_before_limits     |
      | news_full_before_limits      |
      | news_of_group_before_limits  |
      | news_empty_before_brittle    |
      | news_full_before_brittle     |
      | news_of_group_before_brittle |
      | news_empty_before_blocks     |
      | news_full_before_blocks      |
      | news_of_group_before_blocks  |

  Scenario Outline: A node of an earlier release reads all fields of a message that its release supports
    When a node of the release before "<addition>" receives the message "news_full"
    Then the node reads the same message without the added fields

    Examples:
      | addition |
      | leaving  |
      | limits   |
      | brittle  |
      | blocks   |

  Scenario Outline: A record in the store has exactly the recorded key and value
    Given the recorded forms of "records"
    When the gateway writes the record "<record>"
    Then its key and value are the recorded ones

    Examples:
      | record             |
      | registration       |
      | duty               |
      | order_turn         |
      | quarantine         |
      | quarantined_blocks |
      | weights_age        |
      | rollout            |
      | rollout_begun      |
      | rollout_status     |

  Scenario Outline: A record of an older release is read
    Given the recorded forms of "records"
    When the recorded value of "<record>" is read
    Then the content is that of the example record

    Examples:
      | record        |
      | registration  |
      | registration_before_relays |
      | quarantine    |
      | quarantined_blocks |
      | weights_age   |
      | rollout       |
      | rollout_begun |

  Scenario Outline: A call to the platform has exactly the recorded form
    Given the recorded forms of "calls"
    When the gateway makes the call "<call>"
    Then the call's method, target, headers and body are the recorded ones

    Examples:
      | call                |
      | request_full        |
      | request_plain       |
      | order_during_runs   |
      | order_after_runs    |
      | report              |
      | health              |
      | store_read_all      |
      | store_follow        |
      | store_revision      |
      | store_write         |
      | store_delete        |
      | store_lease         |
      | store_renewal       |
      | store_lease_end     |
      | store_status        |

  Scenario: The names of log events and their fields are the recorded ones
    Given the recorded forms of "log_events"
    When the events and fields that the gateway logs are listed
    Then the listed names are the recorded ones

  Scenario: The names of metrics, their labels and buckets are the recorded ones
    Given the recorded forms of "metrics"
    When the metrics that a node exports are listed
    Then the listed names are the recorded ones
