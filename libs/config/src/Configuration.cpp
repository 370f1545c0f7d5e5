#include "config/Configuration.h"

#include <algorithm>

namespace vanillayard {

template <typename T, typename Id>
static const T *findByName(const std::vector<T> &List, const Id &Name) {
  auto Found = std::find_if(List.begin(), List.end(),
                            [&](const T &Item) { return Item.Name == Name; });
  return Found == List.end() ? nullptr : &*Found;
}

const ClientAccount *
Configuration::findAccount(const ClientAccountId &Name) const {
  return findByName(this->Accounts, Name);
}

const KindOfWork *Configuration::findKind(const KindOfWorkId &Name) const {
  return findByName(this->Kinds, Name);
}

const Preset &Configuration::activePreset() const {
  static const Preset Default;
  const Preset *Found = findByName(this->Presets, this->PresetInForce);
  return Found ? *Found : Default;
}

} // namespace vanillayard
