//! Announcements that endpoints make in their responses.

use daisychute_core::Time;

use crate::{Action, Dispatcher, EndpointKey, Incarnation};

impl Dispatcher {
    /// Sends an endpoint that announced to leave nothing new, and tells the other fronts.
    pub(crate) fn leaving_announced(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(incarnation) = self.fleet.record_leaving(now, endpoint) else { return };
        actions.push(Action::CloseIdleConnections { endpoint });
        actions.push(Action::AnnounceLeaving { endpoint: incarnation });
        actions.push(Action::SendHeartbeat);
    }

    /// Treats endpoints that announced to another front that they are leaving like own ones.
    pub(crate) fn leaving_reported(
        &mut self,
        now: Time,
        endpoints: Vec<Incarnation>,
        actions: &mut Vec<Action>,
    ) {
        for incarnation in endpoints {
            let endpoint = self.fleet.record_reported_leaving(now, incarnation);
            actions.extend(endpoint.map(|endpoint| Action::CloseIdleConnections { endpoint }));
        }
    }

    /// Requests the health checks of leaving endpoints that are due.
    pub(crate) fn check_leaving(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(table) = &self.table else { return };
        let due = self.fleet.due_checks(now).into_iter();
        actions.extend(due.filter_map(|(endpoint, record)| {
            let path = table.service(&record.service)?.health_path.clone();
            let (name, address) = (record.name.clone(), record.address);
            Some(Action::CheckLeaving { endpoint, name, address, path })
        }));
    }
}
